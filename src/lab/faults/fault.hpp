// What a stretch of network does to what passes between two parties of a rig. Plain data and its
// text form, the same in rig files, logs and reports.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace gateway::lab {

struct Fault {
  std::chrono::milliseconds delay{0},
      jitter{0};    // each piece waits `delay` and up to `jitter` more
  double loss = 0;  // share of the pieces lost: a datagram is gone, TCP waits for a retransmission
  double duplicate = 0;  // share of the datagrams that arrive twice; nothing to TCP
  // share of the datagrams that arrive with a bit flipped or cut short; nothing to TCP
  double corrupt = 0;
  std::uint32_t k_bytes_per_s = 0;  // 0: as fast as it comes; TCP only
  // Nothing passes that way and nobody is told: a cable pulled. `There`: from the one who dials
  // (TCP) or sends.
  bool drop_forward = false, drop_backward = false;
  bool disconnect = false;  // TCP: open links are closed, new ones as soon as they are taken
  bool reset = false;       // TCP: open links are reset (RST), once; what comes after passes

  bool operator==(const Fault&) const = default;
};

// "pass", or its parts joined by commas: "delay=50+20,loss=0.1".
std::string text_of(const Fault& fault);

// The inverse. Parts: pass, cut, reset, silent, silent-there, silent-back, delay=MS[+JITTER],
// loss=SHARE, copy=SHARE, spoil=SHARE, rate=KB_PER_S. Throws std::invalid_argument with one line on
// what would be right.
Fault read_fault(std::string_view text);

Fault combine(const Fault& a, const Fault& b);  // both on one link

}  // namespace gateway::lab
