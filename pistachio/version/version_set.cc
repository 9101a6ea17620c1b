#include "pistachio/version/version_set.h"

#include "pistachio/process/runtime/random.h"

namespace pistachio {

namespace internal {

// Hashes of single versions are added up, so that one change costs one step in any order.
std::uint64_t HashOf(const SubtreeVersion& version) {
  return version.version == 0 ? 0 : StableHash(version.subtree, version.version);
}

struct MessageBytes {
  std::size_t operator()(const SettingsDigest& digest) const {
    return digest.data_centre.str().size() + 3 * sizeof(std::uint64_t) + 1;
  }
  std::size_t operator()(const SettingsRequest& request) const {
    std::size_t bytes = 0;
    for (const SubtreeVersionNumber& have : request.have) {
      bytes += have.subtree.size() + sizeof(have.version);
    }
    return bytes;
  }
  std::size_t operator()(const SettingsUpdate& update) const {
    std::size_t bytes = 1;
    for (const SubtreeVersion& version : update.subtrees) {
      bytes += version.subtree.size() + sizeof(version.version) + version.change_id.size() +
               version.document.size();
    }
    return bytes;
  }
};

}  // namespace internal

std::size_t BytesOf(const SettingsMessage& message) {
  return std::visit(internal::MessageBytes{}, message);
}

VersionSet::TakeResult VersionSet::Take(const SubtreeVersion& version) {
  if (version.version == 0 || version.subtree.empty()) {
    return TakeResult::kKnown;
  }
  SubtreeVersion& known = this->newest[version.subtree];
  if (version.version == known.version && version.change_id != known.change_id) {
    return TakeResult::kForked;
  }
  if (version.version <= known.version) {
    return TakeResult::kKnown;
  }
  this->hash += internal::HashOf(version) - internal::HashOf(known);
  this->version_sum += version.version - known.version;
  known = version;
  return TakeResult::kTaken;
}

SettingsDigest VersionSet::Digest() const {
  SettingsDigest digest;
  digest.subtrees = this->newest.size();
  digest.version_sum = this->version_sum;
  digest.hash = this->hash;
  return digest;
}

std::vector<SubtreeVersionNumber> VersionSet::Numbers() const {
  std::vector<SubtreeVersionNumber> numbers;
  numbers.reserve(this->newest.size());
  for (const auto& [subtree, version] : this->newest) {
    numbers.push_back(SubtreeVersionNumber{subtree, version.version});
  }
  return numbers;
}

SettingsUpdate VersionSet::NewerThan(const std::vector<SubtreeVersionNumber>& have,
                                     std::size_t max_bytes) const {
  std::map<std::string, std::uint64_t> known;
  for (const SubtreeVersionNumber& number : have) {
    known[number.subtree] = number.version;
  }
  SettingsUpdate update;
  std::size_t bytes = 0;
  for (const auto& [subtree, version] : this->newest) {
    const auto theirs = known.find(subtree);
    if (theirs != known.end() && theirs->second >= version.version) {
      continue;
    }
    bytes += subtree.size() + version.document.size();
    if (bytes > max_bytes && !update.subtrees.empty()) {
      update.more = true;
      break;
    }
    update.subtrees.push_back(version);
  }
  return update;
}

}  // namespace pistachio
