#include "pistachio/connection/http/request_memory.h"

#include <algorithm>

namespace pistachio {

RequestMemory::Rank RequestMemory::RankOf(RequestId request, std::size_t bytes) {
  return {bytes, -static_cast<std::int64_t>(request)};
}

std::vector<RequestMemory::RequestId> RequestMemory::FindVictims(RequestId request,
                                                                 std::size_t bytes) const {
  const auto own = this->entries.find(request);
  const std::size_t others =
      this->used_bytes - (own == this->entries.end() ? 0 : own->second.bytes);
  std::size_t freed = 0;
  std::vector<RequestId> victims;
  for (auto rank = this->unfinished.rbegin();
       rank != this->unfinished.rend() && others - freed + bytes > this->budget; ++rank) {
    const auto candidate = static_cast<RequestId>(-rank->second);
    if (rank->first < bytes) {
      break;
    }
    if (candidate != request) {
      freed += rank->first;
      victims.push_back(candidate);
    }
  }
  return others - freed + bytes > this->budget ? std::vector<RequestId>{} : victims;
}

RequestMemory::Reservation RequestMemory::Reserve(RequestId request, std::size_t bytes) {
  Reservation reservation;
  reservation.evicted = this->FindVictims(request, bytes);
  for (const RequestId victim : reservation.evicted) {
    this->Close(victim);
    ++this->refused_requests;
  }
  this->Close(request);
  reservation.granted = this->used_bytes + bytes <= this->budget;
  if (reservation.granted) {
    this->entries[request] = Entry{bytes, false};
    this->unfinished.insert(RankOf(request, bytes));
    this->used_bytes += bytes;
  } else {
    ++this->refused_requests;
  }
  return reservation;
}

void RequestMemory::Complete(RequestId request) {
  const auto entry = this->entries.find(request);
  if (entry != this->entries.end()) {
    entry->second.complete = true;
    this->unfinished.erase(RankOf(request, entry->second.bytes));
  }
}

void RequestMemory::Close(RequestId request) {
  const auto entry = this->entries.find(request);
  if (entry != this->entries.end()) {
    this->used_bytes -= entry->second.bytes;
    this->unfinished.erase(RankOf(request, entry->second.bytes));
    this->entries.erase(entry);
  }
}

std::size_t GrownBodyCapacity(std::size_t needed, std::size_t expected) {
  constexpr std::size_t kFirstCapacity = std::size_t{16} * 1024;
  return std::max(needed, needed <= kFirstCapacity ? std::min(kFirstCapacity, expected) : expected);
}

}  // namespace pistachio
