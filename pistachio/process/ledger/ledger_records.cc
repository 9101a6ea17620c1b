#include "pistachio/process/ledger/ledger_records.h"

#include <algorithm>
#include <set>

#include "pistachio/connection/store/cbor.h"

namespace pistachio::internal {

using Json = nlohmann::json;

namespace {

constexpr std::size_t kSlotDigits = 5;

std::string Padded(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kSlotDigits - std::min(kSlotDigits, digits.size()), '0') + digits;
}

Json ToBinary(const std::string& bytes) {
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string FromBinary(const Json& json) {
  const Json::binary_t& bytes = json.get_ref<const Json::binary_t&>();
  return std::string(bytes.begin(), bytes.end());
}

LedgerBatch ToBatch(const Json& json) {
  LedgerBatch batch;
  batch.number = json.at("n").get<std::uint64_t>();
  batch.epoch = json.at("e").get<Epoch>();
  batch.is_fence = json.at("x").get<bool>();
  batch.first_sequence = json.at("f").get<std::uint64_t>();
  for (const Json& record : json.at("r")) {
    batch.records.push_back(FromBinary(record));
  }
  return batch;
}

SnapshotHead ToHead(const Json& json) {
  SnapshotHead head;
  head.epoch = json.at("e").get<Epoch>();
  head.through_batch = json.at("b").get<std::uint64_t>();
  head.through_sequence = json.at("q").get<std::uint64_t>();
  head.set = json.at("s").get<std::uint32_t>();
  head.parts = json.at("p").get<std::uint32_t>();
  head.inline_data = FromBinary(json.at("d"));
  return head;
}

SnapshotPart ToPart(const Json& json) {
  return SnapshotPart{json.at("e").get<Epoch>(), json.at("b").get<std::uint64_t>(),
                      FromBinary(json.at("d"))};
}

/// \returns the snapshot that the head stands for, or nothing if a part is missing or another's.
std::optional<std::string> JoinParts(const LedgerKeys& keys, const SnapshotHead& head,
                                     const std::map<std::string, std::string>& parts) {
  std::string snapshot = head.inline_data;
  for (std::uint32_t index = 0; index < head.parts; index++) {
    const auto entry = parts.find(keys.part(head.epoch, head.set, index));
    const auto part = entry == parts.end() ? std::nullopt : DecodeSnapshotPart(entry->second);
    if (!part || part->epoch != head.epoch || part->through_batch != head.through_batch) {
      return std::nullopt;
    }
    snapshot += part->data;
  }
  return snapshot;
}

std::vector<std::string> StaleParts(const LedgerKeys& keys, const SnapshotHead& head,
                                    const std::map<std::string, std::string>& parts) {
  std::set<std::string> named;
  for (std::uint32_t index = 0; index < head.parts; index++) {
    named.insert(keys.part(head.epoch, head.set, index));
  }
  std::vector<std::string> stale;
  for (const auto& [key, value] : parts) {
    if (named.count(key) == 0) {
      stale.push_back(key);
    }
  }
  return stale;
}

bool HasGap(const LedgerContent& content) {
  std::uint64_t expected = content.head.through_batch;
  for (const auto& [number, batch] : content.batches) {
    if (number != ++expected) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string LedgerKeys::slot(std::uint64_t number, std::uint32_t slots) const {
  return this->prefix + "d/" + Padded(number % slots);
}

std::string LedgerKeys::part(Epoch epoch, std::uint32_t set, std::uint32_t index) const {
  return this->prefix + "s/" + std::to_string(epoch) + "-" + std::to_string(set) + "/" +
         Padded(index);
}

bool LedgerKeys::IsSlot(const std::string& key) const {
  return key.compare(0, this->prefix.size() + 2, this->prefix + "d/") == 0;
}

bool LedgerKeys::IsPart(const std::string& key) const {
  return key.compare(0, this->prefix.size() + 2, this->prefix + "s/") == 0;
}

std::string Encode(const LedgerBatch& batch) {
  Json records = Json::array();
  for (const std::string& record : batch.records) {
    records.push_back(ToBinary(record));
  }
  return ToCbor(Json{{"n", batch.number},
                     {"e", batch.epoch},
                     {"x", batch.is_fence},
                     {"f", batch.first_sequence},
                     {"r", records}});
}

std::string Encode(const SnapshotHead& head) {
  return ToCbor(Json{{"e", head.epoch},
                     {"b", head.through_batch},
                     {"q", head.through_sequence},
                     {"s", head.set},
                     {"p", head.parts},
                     {"d", ToBinary(head.inline_data)}});
}

std::string Encode(const SnapshotPart& part) {
  return ToCbor(Json{{"e", part.epoch}, {"b", part.through_batch}, {"d", ToBinary(part.data)}});
}

std::optional<LedgerBatch> DecodeLedgerBatch(const std::string& value) {
  return FromCbor(value, ToBatch);
}

std::optional<SnapshotHead> DecodeSnapshotHead(const std::string& value) {
  return FromCbor(value, ToHead);
}

std::optional<SnapshotPart> DecodeSnapshotPart(const std::string& value) {
  return FromCbor(value, ToPart);
}

std::optional<LedgerContent> ReadLedger(const LedgerKeys& keys,
                                        const std::vector<StoreEntry>& entries) {
  LedgerContent content;
  std::map<std::string, std::string> parts;
  std::vector<LedgerBatch> batches;
  for (const StoreEntry& entry : entries) {
    if (entry.key == keys.head()) {
      const std::optional<SnapshotHead> head = DecodeSnapshotHead(entry.value);
      if (!head) {
        return std::nullopt;
      }
      content.head = *head;
    } else if (keys.IsPart(entry.key)) {
      parts[entry.key] = entry.value;
    } else if (keys.IsSlot(entry.key)) {
      const std::optional<LedgerBatch> batch = DecodeLedgerBatch(entry.value);
      if (!batch) {
        return std::nullopt;
      }
      batches.push_back(*batch);
    }
  }
  content.newest_epoch = content.head.epoch;
  content.last_batch = content.head.through_batch;
  for (LedgerBatch& batch : batches) {
    content.newest_epoch = std::max(content.newest_epoch, batch.epoch);
    content.last_batch = std::max(content.last_batch, batch.number);
    if (batch.number > content.head.through_batch) {
      content.batches[batch.number] = std::move(batch);
    }
  }
  const std::optional<std::string> snapshot = JoinParts(keys, content.head, parts);
  if (!snapshot || HasGap(content)) {
    return std::nullopt;
  }
  content.snapshot = *snapshot;
  content.stale_parts = StaleParts(keys, content.head, parts);
  return content;
}

}  // namespace pistachio::internal
