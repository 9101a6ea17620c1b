#include "pistachio/process/daemon/secrets.h"

#include <fstream>
#include <sstream>

namespace pistachio {

namespace internal {

constexpr char kBearer[] = "Bearer ";

bool SameText(const std::string& a, const std::string& b) {
  unsigned char difference = a.size() == b.size() ? 0 : 1;
  for (std::size_t i = 0; i < a.size() && i < b.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

}  // namespace internal

std::optional<std::string> ReadSecretFile(const std::string& file) {
  std::ifstream stream(file);
  std::string secret;
  if (!std::getline(stream, secret) || secret.empty()) {
    return std::nullopt;
  }
  return secret;
}

std::optional<std::vector<OperatorToken>> ReadTokenFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return std::nullopt;
  }
  std::vector<OperatorToken> tokens;
  std::string line;
  while (std::getline(stream, line)) {
    if (line.empty()) {
      continue;
    }
    std::istringstream fields(line);
    OperatorToken token;
    std::string more;
    if (!(fields >> token.token >> token.subtree) || (fields >> more)) {
      return std::nullopt;
    }
    tokens.push_back(std::move(token));
  }
  return tokens;
}

std::string TokenOfBearer(const std::string& authorization) {
  const std::string bearer = internal::kBearer;
  return authorization.rfind(bearer, 0) == 0 ? authorization.substr(bearer.size()) : "";
}

std::optional<std::string> SubtreeOfBearer(const std::vector<OperatorToken>& tokens,
                                           const std::string& authorization) {
  const std::string told = TokenOfBearer(authorization);
  if (told.empty()) {
    return std::nullopt;
  }
  std::optional<std::string> subtree;
  for (const OperatorToken& token : tokens) {
    if (internal::SameText(token.token, told)) {
      subtree = token.subtree;
    }
  }
  return subtree;
}

}  // namespace pistachio
