#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tools/pistachioctl/session.h"

namespace pistachio {

/// \brief What the command line gives beside the command's words.
struct CommandOptions {
  std::optional<std::uint64_t>
      base_version;          ///< version that a change replaces; newest if left out
  std::string change_id;     ///< of an earlier try; a new one if empty
  bool page = false;         ///< `settings explain` prints docs/SETTINGS.md
  std::uint32_t rounds = 0;  ///< refreshes of `top`; 0 goes on until a key
};

/// \brief A command's words after the first, such as `relay` and `relay.toml`.
using Words = std::vector<std::string>;

/// \brief `settings check | diff | apply | get | history | status | revert-to | explain`.
/// \returns nothing if the words are not such a command
std::optional<ExitCode> RunSettings(const Session& session, const Words& words,
                                    const CommandOptions& options);

/// \brief `job submit | status | cancel | list`, `service list`, `target list | drain | undrain |
/// quarantine`, `host list`, `why ID` and `top`.
/// \returns nothing if the words are not such a command
std::optional<ExitCode> RunWork(const Session& session, const Words& words,
                                const CommandOptions& options);

/// \brief Reads a file of bounded size. \returns nothing, with the error printed, if it cannot be.
std::optional<std::string> ReadInput(const std::string& file);

/// \returns the lines that differ, marked with `-` and `+`, with no context.
std::vector<std::string> DiffLines(const std::string& from, const std::string& to);

}  // namespace pistachio
