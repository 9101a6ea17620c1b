#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "pistachio/version.h"

/// \brief Passes the bytes to every parser of the version module. Any text must give values or
/// errors with a message, and none may crash a parser.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace pistachio;  // NOLINT(google-build-using-namespace): one function
  const std::string text(reinterpret_cast<const char*>(data), size);
  std::vector<SettingsError> errors;
  ParseJobDocument(text, "fuzz", &errors);
  for (const SettingsError& error : errors) {
    if (error.str().empty()) {
      return 1;
    }
  }
  SettingsHierarchy hierarchy;
  hierarchy.Apply(SubtreeVersion{"team", 1, "a", text});
  hierarchy.Check(kRootSubtree, text, "fuzz");
  hierarchy.Apply(SubtreeVersion{kRootSubtree, 1, "b", text});
  return 0;
}
