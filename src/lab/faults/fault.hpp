// A network fault on a link between two processes of a rig: a plain value and its text form, which
// is the same in rig files, logs and reports.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace gateway::lab {

// A default-constructed fault lets everything pass.
struct Fault {
  std::chrono::milliseconds delay{0},
      jitter{0};  // each piece is delayed by `delay` plus up to `jitter`
  double loss =
      0;  // share of the pieces lost: a datagram is dropped, TCP waits for a retransmission
  double duplicate = 0;  // share of the datagrams that arrive twice; without effect on TCP
  // Share of the datagrams that arrive truncated or with a bit flipped; without effect on TCP.
  double corrupt = 0;
  std::uint32_t k_bytes_per_s = 0;  // 0: unlimited; TCP only
  // Nothing passes in this direction and neither side is notified, as with an unplugged cable.
  // Forward is from the side that connects (TCP) or that sends the datagram.
  bool drop_forward = false, drop_backward = false;
  bool disconnect =
      false;           // TCP: open links are closed, and new ones right after they are accepted
  bool reset = false;  // TCP: open links are reset (RST) once; later links pass

  bool operator==(const Fault&) const = default;
};

// Text form: "pass", or the parts joined by commas, such as "delay=50+20,loss=0.1".
std::string text_of(const Fault& fault);

// Reads the text form. Parts: pass, cut, reset, silent, silent-there, silent-back,
// delay=MS[+JITTER], loss=SHARE, copy=SHARE, spoil=SHARE, rate=KB_PER_S. Throws
// std::invalid_argument with a one-line message that names the wrong part and the accepted forms.
Fault read_fault(std::string_view text);

// The effect of both faults on one link.
Fault combine(const Fault& a, const Fault& b);

}  // namespace gateway::lab
