#pragma once

#include <optional>
#include <string>
#include <vector>

namespace pistachio {

/// \brief An operator's token and the subtree it may change; `*` stands for every one.
struct OperatorToken {
  std::string token;
  std::string subtree;
};

/// \brief Reads a file whose whole content, but for the line end, is a secret.
/// \returns nothing if it cannot be read or is empty.
std::optional<std::string> ReadSecretFile(const std::string& file);

/// \brief Reads one token a line: token, blank, subtree. \returns nothing if the file is malformed.
std::optional<std::vector<OperatorToken>> ReadTokenFile(const std::string& file);

/// \returns the token of an `Authorization: Bearer` header, or an empty text.
std::string TokenOfBearer(const std::string& authorization);

/// \brief Finds the token of an `Authorization: Bearer` header, in a time that does not tell where
/// it differs. \returns the subtree that it is bound to, or nothing if it is not known.
std::optional<std::string> SubtreeOfBearer(const std::vector<OperatorToken>& tokens,
                                           const std::string& authorization);

}  // namespace pistachio
