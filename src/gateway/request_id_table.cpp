#include "gateway/request_id_table.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <new>
#include <random>
#include <system_error>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace gateway {
namespace {

constexpr std::uint64_t kFormat = 0x3164692d74736571;  // changes with the layout
constexpr const char* kFileName = "request-ids";
constexpr std::size_t kSlotsOfBucket = 8;
// An entry is a fingerprint of the id and, in the lowest bits, the time at which it expires. One
// word, so that it changes at once for all processes.
constexpr unsigned kTimeBits = 24;
constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << kTimeBits) - 1;
constexpr std::chrono::milliseconds kTimeUnit{64};
constexpr std::uint64_t kMaxLifetimeUnits = RequestIdTable::kMaxLifetime / kTimeUnit;
constexpr std::uint64_t kFree = 0;

std::uint64_t units_of(RequestIdTable::Clock::time_point time) {
  return static_cast<std::uint64_t>(time.time_since_epoch() / kTimeUnit);
}

// Of an entry; 0 if it is free, has expired, or is from before the machine's last start.
std::uint64_t remaining_units(std::uint64_t entry, std::uint64_t now_units) {
  const std::uint64_t remaining = (entry - now_units) & kTimeMask;
  return entry != kFree && remaining <= kMaxLifetimeUnits ? remaining : 0;
}

std::uint64_t entry_for(std::uint64_t fingerprint, RequestIdTable::Clock::time_point expires) {
  return fingerprint | ((units_of(expires) + 1) & kTimeMask);
}

std::uint64_t fingerprint_of(std::uint64_t entry) {
  return entry & ~kTimeMask;
}

// A descriptor that is closed at the end of the block.
struct ScopedDescriptor {
  int number;
  ~ScopedDescriptor() {
    if (number >= 0) {
      ::close(number);
    }
  }
};

}  // namespace

struct RequestIdTable::Layout {
  std::uint64_t format;
  std::uint64_t seed;  // of the hashes, so that clients can't choose ids of one bucket
  std::array<std::uint64_t, kSlots> entries;

  std::atomic_ref<std::uint64_t> at(std::size_t slot) { return std::atomic_ref(entries.at(slot)); }
};

RequestIdTable::RequestIdTable(const std::string& directory) {
  is_shared_ = !directory.empty() && open_shared(directory);
  if (is_shared_) {
    return;
  }
  map(-1);
  layout_->seed = std::random_device()();
}

RequestIdTable::~RequestIdTable() {
  ::munmap(layout_, sizeof(Layout));
}

// Throws std::bad_alloc.
void RequestIdTable::map(int descriptor) {
  const int flags = descriptor < 0 ? MAP_PRIVATE | MAP_ANONYMOUS : MAP_SHARED;
  void* const memory =
      ::mmap(nullptr, sizeof(Layout), PROT_READ | PROT_WRITE, flags, descriptor, 0);
  if (memory == MAP_FAILED) {
    throw std::bad_alloc();
  }
  layout_ = static_cast<Layout*>(memory);
}

// A new file is complete before it gets its name, so that no process sees a part of it. Its blocks
// are allocated: a write to a mapped file on a full disk would end the process.
bool RequestIdTable::open_shared(const std::string& directory) {
  std::error_code ignored;
  std::filesystem::create_directories(directory, ignored);
  const std::string path = directory + "/" + kFileName;
  const std::string new_path = path + "." + std::to_string(::getpid());
  {
    const ScopedDescriptor created{
        ::open(new_path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600)};
    const std::array<std::uint64_t, 2> header{kFormat, std::random_device()()};
    const bool is_complete =
        created.number >= 0 && ::posix_fallocate(created.number, 0, sizeof(Layout)) == 0 &&
        ::pwrite(created.number, header.data(), sizeof header, 0) == sizeof header;
    if (is_complete) {
      [[maybe_unused]] const int result = ::link(new_path.c_str(), path.c_str());  // or it exists
    }
    ::unlink(new_path.c_str());
  }
  const ScopedDescriptor file{::open(path.c_str(), O_RDWR | O_CLOEXEC)};
  if (file.number < 0 || ::lseek(file.number, 0, SEEK_END) != sizeof(Layout)) {
    return false;
  }
  map(file.number);
  if (layout_->format == kFormat) {
    return true;
  }
  ::munmap(layout_, sizeof(Layout));
  return false;
}

RequestIdTable::Position RequestIdTable::position_of(std::string_view id) const {
  const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), layout_->seed);
  constexpr std::size_t kBuckets = kSlots / kSlotsOfBucket;
  // The bucket comes from bits that are not part of the fingerprint. One fingerprint is never 0,
  // which would make an entry look free.
  const std::uint64_t fingerprint = (hash & ~kTimeMask) | (std::uint64_t{1} << kTimeBits);
  return {static_cast<std::size_t>(hash % kBuckets) * kSlotsOfBucket, fingerprint};
}

RequestIdTable::Claim RequestIdTable::claim(std::string_view id, Clock::time_point now,
                                            Clock::time_point expires) {
  const Position position = position_of(id);
  const std::uint64_t now_units = units_of(now);
  const std::uint64_t entry =
      entry_for(position.fingerprint, std::min(expires, now + kMaxLifetime));
  for (;;) {
    std::size_t chosen = position.first_slot;
    std::uint64_t chosen_entry = kFree;
    std::uint64_t least_remaining = kTimeMask;
    for (std::size_t slot = position.first_slot; slot < position.first_slot + kSlotsOfBucket;
         ++slot) {
      const std::uint64_t present = layout_->at(slot).load();
      const std::uint64_t remaining = remaining_units(present, now_units);
      if (remaining > 0 && fingerprint_of(present) == position.fingerprint) {
        return Claim::in_use;
      }
      if (remaining < least_remaining) {
        chosen = slot;
        chosen_entry = present;
        least_remaining = remaining;
      }
    }
    if (!layout_->at(chosen).compare_exchange_strong(chosen_entry, entry)) {
      continue;  // the other process has changed it
    }
    // The other process may have claimed the id in another slot since it was looked at here. It
    // looks as well; if both see each other, both leave the id to nobody.
    for (std::size_t slot = position.first_slot; slot < position.first_slot + kSlotsOfBucket;
         ++slot) {
      const std::uint64_t present = layout_->at(slot).load();
      if (slot != chosen && remaining_units(present, now_units) > 0 &&
          fingerprint_of(present) == position.fingerprint) {
        layout_->at(chosen).store(kFree);
        return Claim::in_use;
      }
    }
    return least_remaining > 0 ? Claim::accepted_forgetting_another : Claim::accepted;
  }
}

void RequestIdTable::extend(std::string_view id, Clock::time_point now, Clock::time_point expires) {
  const Position position = position_of(id);
  replace(position, units_of(now),
          entry_for(position.fingerprint, std::min(expires, now + kMaxLifetime)));
}

void RequestIdTable::release(std::string_view id, Clock::time_point now) {
  replace(position_of(id), units_of(now), kFree);
}

void RequestIdTable::replace(const Position& position, std::uint64_t now_units,
                             std::uint64_t entry) {
  for (std::size_t slot = position.first_slot; slot < position.first_slot + kSlotsOfBucket;
       ++slot) {
    std::uint64_t present = layout_->at(slot).load();
    if (remaining_units(present, now_units) > 0 &&
        fingerprint_of(present) == position.fingerprint) {
      layout_->at(slot).compare_exchange_strong(present, entry);
      return;
    }
  }
}

}  // namespace gateway
