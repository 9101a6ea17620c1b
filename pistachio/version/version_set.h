#pragma once

#include <map>
#include <string>
#include <vector>

#include "pistachio/version/spread_types.h"

namespace pistachio {

/// \brief The newest known version of every subtree; per subtree it only goes up.
class VersionSet {
 public:
  /// \brief What became of a version that was offered.
  enum class TakeResult {
    kTaken,   ///< newer, and now in force
    kKnown,   ///< older or the same
    kForked,  ///< another change with the version that is in force; not taken
  };

  /// \brief Takes a version if it is newer. Cost: logarithmic.
  TakeResult Take(const SubtreeVersion& version);

  /// \returns the versions in short. Cost: constant.
  SettingsDigest Digest() const;

  /// \returns every subtree with its version number.
  std::vector<SubtreeVersionNumber> Numbers() const;

  /// \brief Lists what is newer here than in \a have, in subtree order.
  ///
  /// \param max_bytes bound on the documents; the first one is listed whatever its size
  /// \returns the versions, and whether the bound cut them off
  SettingsUpdate NewerThan(const std::vector<SubtreeVersionNumber>& have,
                           std::size_t max_bytes) const;

  const std::map<std::string, SubtreeVersion>& versions() const { return this->newest; }

 private:
  std::map<std::string, SubtreeVersion> newest;
  std::uint64_t version_sum = 0;
  std::uint64_t hash = 0;
};

}  // namespace pistachio
