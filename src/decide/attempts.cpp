#include "decide/attempts.hpp"

namespace ochrehill {
namespace {

constexpr double kCopyNorms = 2.5;   // a second copy after so many usual times
constexpr double kLeftApart = 0.02;  // of the client's total wait: times closer than this are the same
constexpr double kAfterLeast = 0.1;  // of the longest retry-after: the highest score stays away a bit too

}  // namespace

void Attempts::onRequest(const Request& q) {
  Open* opened = requests_.open(q.id);
  if (!opened) return;
  Open& r = *opened;
  r.began = c_.now;
  r.coming = q.coming;
  const auto known = static_cast<std::uint32_t>(c_.set.classes.size());
  r.cls = std::min(q.classIndex, known);
  ClassState& c = c_.classes[r.cls];
  const double cost = toSeconds(q.cost);
  if (cost > 0) c.meanCost = c.meanCost > 0 ? c.meanCost + kNormGain * (cost - c.meanCost) : cost;
  r.cost = cost > 0 ? std::clamp(cost / c.meanCost, 0.2, 5.0) : 1.0;
  r.key = q.key;
  r.hasKey = q.hasKey;
  r.deadline = c_.now + q.left;
  r.aimAt = useful(r, q);
  r.score = cutoff_.score(r, q.tenantIndex);
  cutoff_.arrived(r);
  retryTokens_ = std::min(retryTokens_ + kRetryShare, kRetrySaved + kRetryShare * cutoff_.askedRate());
  if (r.score < cutoff_.cut()) {
    refuse(r);
    end(r);
  } else if (inTurn(r)) {
    enqueue(r);
  } else {
    if (!r.coming) guard(r, r.deadline - c_.set.step, Due::answer);
    dispatch(r);
  }
}

// Until when an answer earns in full. Clients give first tries the same time and later ones what is left of
// it, which tells how much was spent before and no longer earns. Danger: by a median, once later tries are
// the more, first ones look late, are refused and asked again, and the jam keeps itself up. But times of
// first tries lie in one place, others scatter. It could do harm where clients give many different times.
Time Attempts::useful(Open& r, const Request& q) {
  ClassState& c = c_.classes[r.cls];
  const Duration apart = scaled(c.set.giveUp, kLeftApart);
  const std::size_t place = c.noteLeft(toSeconds(q.left) / std::max(toSeconds(apart), 1e-9));
  if (place == c.usualPlace) c.usualLeft = q.left;
  const bool usual = q.left > c.usualLeft - apart && q.left < c.usualLeft + apart;
  const Duration spent = usual ? Duration{} : std::max(c.set.giveUp - q.left, Duration{});
  return c_.now - spent + c.set.aim + scaled(q.cost, c.set.aimStretch);
}

void Attempts::dispatch(Open& r) {  // its first attempt
  const ClassState& c = c_.classes[r.cls];
  if (!send(r)) return finish(r);
  if (cutoff_.evidence() < 1) guard(r, r.aimAt, Due::late);
  if (c_.set.parallelTries && !r.coming && c.set.effect != Effect::fragile && c.norm > 0)
    guard(r, c_.now + scaled(usualTime(r), kCopyNorms), Due::copy);
}

bool Attempts::send(Open& r) {
  const Time last = lastUse(r);
  if (last <= c_.now || r.count >= std::min<std::size_t>(c_.set.maxAttempts, kTries)) return false;
  // Danger: what comes with less time than an answer takes now gains little, takes the place of others and
  // feeds an overload. In calm there is room to try.
  if (cutoff_.cut() > 1 && hopeless(r, 0)) return false;
  const HostId id = pick_.host(r);
  if (id == kNone) return false;
  const Time begin = pick_.beginBy(r);
  Host& h = fleet_.at(id);
  cold_.sent(h);
  Try& t = r.tries[r.count];
  t = {id, c_.now, true, true};
  connections_.take(h, id, t);
  if (!r.coming) hold(r, h);
  ++h.named;
  ++r.out;
  c_.emit(ActionKind::send, r.id, r.count++, id, last - c_.now);
  if (begin < Time::max()) c_.out.back().beginWithin = begin - c_.now;  // a dial may take long
  return true;
}

void Attempts::onResult(const AttemptResult& a) {
  Open* found = requests_.find(a.request);
  if (!found || a.attempt >= found->count || !found->tries[a.attempt].out) return;
  Open& r = *found;
  Try& t = r.tries[a.attempt];
  Host& h = fleet_.at(t.host);
  t.out = false;
  --r.out;
  if (r.coming) r.restart(c_.now);
  else fleet_.hold(h, -1);
  if (a.outcome == Outcome::full || a.outcome == Outcome::connectFailed || a.outcome == Outcome::moot)
    t.mayHaveRun = false;
  health_.judge(h, r, a);
  if (a.outcome == Outcome::served) cold_.served(h);
  h.used = c_.now;
  if (t.dialled && a.outcome == Outcome::served) h.dialFails = 0;
  connections_.note(t, a.outcome);
  const bool unsure =
      a.outcome == Outcome::timeout || a.outcome == Outcome::reset || a.outcome == Outcome::cancelled;
  if (unsure && inTurn(r)) turns_.rest(r.key, c_.now + c_.set.keyRest);
  if (a.terminal && !r.ended) return end(r);
  if (r.ended) return release(r);
  if (r.bound || r.out > 0) return;
  if (a.outcome == Outcome::rejected) {
    c_.emit(ActionKind::fail, r.id);
    return end(r);
  }
  const bool again = !a.spent && lastUse(r) > c_.now && a.outcome != Outcome::moot;
  if (!again || !resend(r)) finish(r);
}

// Danger: taken for work from its start, a long upload makes its host look slow and the pool full.
void Attempts::onWhole(RequestId id) {
  Open* r = requests_.find(id);
  if (!r || !r->coming) return;
  r->restart(c_.now);
  r->coming = false;
  for (std::uint32_t i = 0; i < r->count; ++i)
    if (r->tries[i].out) r->tries[i].at = c_.now, hold(*r, fleet_.at(r->tries[i].host));
  if (!r->ended) guard(*r, r->deadline - c_.set.step, Due::answer);
}

void Attempts::onAnswerStarted(RequestId id, std::uint32_t attempt) {
  Open* r = requests_.find(id);
  if (!r || r->ended || attempt >= r->count) return;
  r->bound = true;
  cancelOut(*r, attempt);
}

void Attempts::finish(Open& r) {  // a refusal claims that a retry is harmless: it needs proof
  const ClassSettings& c = c_.classes[r.cls].set;
  bool mayHaveRun = false;
  for (std::uint32_t i = 0; i < r.count; ++i) mayHaveRun |= r.tries[i].mayHaveRun;
  const bool harmless = !mayHaveRun || c.effect == Effect::retryable ||
                        (c.effect == Effect::dedup && c.group == Group::all && r.out == 0);
  if (harmless) refuse(r);
  else c_.emit(ActionKind::fail, r.id);
  end(r);
}

// Retry-after lengthens as the score falls; jittered, or they would all come due together.
void Attempts::refuse(const Open& r) {
  Duration after{};
  if (c_.set.retryAfter)
    after =
        scaled(c_.set.maxRetryAfter, std::max(1 - r.score / 100, kAfterLeast) * (0.5 + 0.5 * c_.drawUnit()));
  c_.emit(ActionKind::refuse, r.id, 0, kNone, after);
}

void Attempts::cancelOut(Open& r, std::uint32_t except) {  // work that can no longer earn
  if (!c_.set.cancel) return;
  for (std::uint32_t i = 0; i < r.count; ++i)
    if (r.tries[i].out && !r.tries[i].cancelled && i != except) {
      r.tries[i].cancelled = true;
      c_.emit(ActionKind::cancel, r.id, i);
    }
}

void Attempts::release(Open& r) {
  if (!r.ended || r.out > 0) return;
  if (inTurn(r)) {
    turns_.leave(r.key, requests_.slot(r));
    turnsDue_.push_back(r.key);
  }
  requests_.close(r);
  for (std::uint32_t i = 0; i < r.count; ++i) {
    --fleet_.at(r.tries[i].host).named;
    fleet_.forgetGone(r.tries[i].host);
  }
}

// --- Turns ------------------------------------------------------------------------------------------------

// Danger: two requests of one key at a host at once, or out of order. A request stays in its key's queue till
// all its attempts are settled; only the first is sent, and after an end that is not sure the key rests.
void Attempts::passTurns() {
  for (std::size_t i = 0; i < turnsDue_.size(); ++i) {  // what ends here passes the turn on once more
    const Turn* turn = turns_.waiting(turnsDue_[i]);
    if (!turn) continue;
    Open& r = requests_.at(turn->queue.front());
    if (r.ended || r.count > 0) continue;
    if (c_.now < turn->restUntil) guard(r, turn->restUntil, Due::turn);
    else dispatch(r);
  }
  turnsDue_.clear();
}

void Attempts::enqueue(Open& r) {
  const std::size_t ahead = turns_.join(r.key, requests_.slot(r));
  if (ahead > 0 && hopeless(r, ahead)) return finish(r);
  guard(r, r.deadline - c_.set.step, Due::answer);
  guard(r, lastUse(r) - usualTime(r), Due::turn);
  turnsDue_.push_back(r.key);
}

// Latest time at which an answer still earns and still reaches the client.
Time Attempts::lastUse(const Open& r) const {
  const Time end = r.deadline - 2 * c_.set.step;
  return c_.classes[r.cls].set.lateShare > 0 ? end : std::min(end, r.aimAt - 2 * c_.set.step);
}

void Attempts::onWake() {
  while (!guards_.empty() && guards_.top().at <= c_.now) {
    const Guard g = guards_.top();
    guards_.pop();
    Open* r = requests_.find(OpenRequests::Reference{g.slot, g.generation});
    if (!r || r->ended || r->bound) continue;
    // Danger: an outcome that never comes would leave the client without an answer. And a slow host that is
    // not known yet eats the whole aim: in calm what may be repeated runs once more elsewhere.
    if (g.due == Due::turn && inTurn(*r) && r->count == 0) {
      turnsDue_.push_back(r->key);
      if (hopeless(*r, 0)) finish(*r);
    } else if (g.due == Due::answer && !r->coming) finish(*r);
    else if (g.due == Due::late && r->out > 0) health_.met(fleet_.at(r->tries[r->count - 1].host), true);
    else if (g.due == Due::copy && r->out == 1 && cutoff_.cut() <= 1) resend(*r);
  }
}

Time Attempts::nextGuard() {
  while (!guards_.empty()) {
    const Open* r = requests_.find(OpenRequests::Reference{guards_.top().slot, guards_.top().generation});
    if (r && !r->ended) return guards_.top().at;
    guards_.pop();
  }
  return Time::max();
}

}  // namespace ochrehill
