#include <catkintally/core/admission/target_admission.hpp>

#include <algorithm>
#include <cmath>

namespace catkintally::core
{
namespace
{

using namespace std::chrono_literals;

/// Consecutive failures after which a warm target becomes cold, and after which a target is
/// ejected.
constexpr std::uint32_t cold_after_failures = 2;
constexpr std::uint32_t eject_after_failures = 3;

/// Back-off before the trial request of an ejected target; doubles with each failed trial.
constexpr duration first_back_off = 1s;
constexpr duration max_back_off = 30s;

/// How long a target that refused a request without running it receives none beyond its slots.
constexpr duration shedding_time = 1s;

/// How long a target that reports draining receives no trial request, unless a probe reports
/// otherwise.
constexpr duration drain_check_time = 10s;

/// Longest time for which the place of a failed request is held.
constexpr duration max_hold = 1s;

/// Log-likelihood ratio above which a target is marked slow: all its slots hold requests well past
/// the late bound, or finished requests were slow as well. Lower thresholds find more slow targets
/// but lose more capacity to false positives than they save
/// (docs/decisions/admission-policy.md).
double slow_threshold(const target_row& row)
{
    return std::min(2.9 * row.slots, 9.0);
}

/// How far the log-likelihood ratio must fall below the threshold to end the slow phase.
constexpr double slow_hysteresis = 1.0;

/// Decay time of the evidence from finished requests, in median service times, and the upper bound
/// of its sum. The sum is never negative: fast answers must not outweigh requests that are late
/// now.
constexpr int evidence_decay_medians = 5;
constexpr double max_finished_evidence = 4;

/// Rank of a phase, from the coldest.
int phase_rank(target_phase phase)
{
    switch (phase)
    {
    case target_phase::ejected:
        return 0;
    case target_phase::cold:
        return 1;
    case target_phase::slow:
        return 2;
    case target_phase::warm:
        return 3;
    }
    return 0;
}

} // namespace

void target_admission::update(const target_row& row, bool available, time_point now)
{
    if (!available || !available_ || row.address != row_.address)
    {
        become_cold();
        failures_ = 0;
        back_off_ = duration::zero();
        reports_draining_ = false;
        restored_ = false;
        last_signal_ = now;
    }
    row_ = row;
    available_ = available;
    limit_ = std::min(limit_, std::max(row_.slots, 1U));
}

std::uint32_t target_admission::limit(std::uint32_t ahead, time_point now) const
{
    switch (phase_)
    {
    case target_phase::warm:
        return row_.slots + (now < shedding_until_ ? 0 : ahead);
    case target_phase::slow:
        return 1;
    case target_phase::cold:
        return limit_;
    case target_phase::ejected:
        return now < trial_at_ ? 0 : 1;
    }
    return 0;
}

std::uint32_t target_admission::occupied(time_point now) const
{
    const auto held =
        std::count_if(held_.begin(), held_.end(), [now](time_point end) { return end > now; });
    return static_cast<std::uint32_t>(places_.size()) + static_cast<std::uint32_t>(held);
}

bool target_admission::accepts(time_point now) const
{
    return available_ && (!reports_draining_ || now >= drain_check_at_);
}

std::optional<time_point> target_admission::next_change(time_point now) const
{
    std::optional<time_point> next;
    const auto consider = [&](time_point at)
    {
        if (at > now)
        {
            next = std::min(next.value_or(at), at);
        }
    };
    std::for_each(held_.begin(), held_.end(), consider);
    consider(shedding_until_);
    if (phase_ == target_phase::ejected)
    {
        consider(trial_at_);
    }
    if (reports_draining_)
    {
        consider(drain_check_at_);
    }
    return next;
}

void target_admission::add(request_id id, time_point now, bool suspect)
{
    places_.push_back(
        {.id = id, .granted = now, .started = now, .running = false, .suspect = suspect});
    last_signal_ = now;
    start_queued_requests(now);
}

std::optional<target_admission::place> target_admission::remove(request_id id, time_point now)
{
    const auto found = std::find_if(
        places_.begin(), places_.end(), [id](const place& entry) { return entry.id == id; });
    if (found == places_.end())
    {
        return std::nullopt;
    }
    const place ended = *found;
    places_.erase(found);
    start_queued_requests(now);
    return ended;
}

bool target_admission::record_completion(
    const place& ended,
    const completion_report& report,
    const service_time_model& model,
    time_point now,
    bool may_eject)
{
    std::erase_if(held_, [now](time_point end) { return end <= now; });
    last_signal_ = now;
    if (!available_)
    {
        return false;
    }
    const bool late = now - ended.started > model.late_bound();
    bool prevented = false;
    switch (report.outcome)
    {
    case completion_outcome::answered:
        on_success(ended, model, now);
        break;
    case completion_outcome::answered_error:
        prevented = failed(ended, false, model, now, may_eject);
        break;
    case completion_outcome::connection_lost:
        prevented = failed(ended, true, model, now, may_eject);
        break;
    case completion_outcome::not_run:
        // With a status, the target was reached but shed load; without one, it was not reached.
        if (report.status != 0)
        {
            shedding_until_ = now + shedding_time;
        }
        prevented = failed(ended, report.status == 0, model, now, may_eject);
        break;
    case completion_outcome::timed_out:
        // A caller's own short deadline says nothing about the target.
        if (late || (!model.ready() && now - ended.started >= assumed_late_bound))
        {
            prevented = failed(ended, true, model, now, may_eject);
        }
        else if (!model.ready() && phase_ == target_phase::cold)
        {
            // Without a model, a short deadline and a slow target cannot be told apart.
            become_cold();
        }
        break;
    case completion_outcome::cancelled:
        break;
    }
    apply_load_report(report, now);
    return prevented;
}

void target_admission::record_probe(const completion_report& report, time_point now)
{
    last_signal_ = now;
    if (!available_)
    {
        return;
    }
    if (report.outcome == completion_outcome::answered)
    {
        apply_load_report(report, now);
    }
    else if (report.outcome != completion_outcome::cancelled && phase_ != target_phase::ejected)
    {
        become_cold();
    }
}

void target_admission::update_slow_phase(const service_time_model& model, time_point now)
{
    if (phase_ != target_phase::warm || !model.ready())
    {
        return;
    }
    if (slow_log_likelihood_ratio(model, now) > slow_threshold(row_))
    {
        become_slow(now);
    }
}

double
target_admission::slow_log_likelihood_ratio(const service_time_model& model, time_point now) const
{
    double sum = decayed_evidence(model, now);
    for (const place& entry : places_)
    {
        sum += entry.running ? model.running_log_likelihood_ratio(now - entry.started) : 0;
    }
    return sum;
}

double target_admission::decayed_evidence(const service_time_model& model, time_point now) const
{
    const auto decay_time = static_cast<double>((model.median() * evidence_decay_medians).count());
    const auto age = static_cast<double>((now - evidence_at_).count());
    return decay_time > 0 ? evidence_ * std::exp(-age / decay_time) : 0;
}

void target_admission::restore(target_phase phase, std::uint32_t limit, time_point now)
{
    if (!available_ || (restored_ && phase_rank(phase) > phase_rank(phase_)))
    {
        return;
    }
    const bool same = restored_ && phase == phase_;
    restored_ = true;
    phase_ = phase;
    limit = std::clamp(limit, 1U, std::max(row_.slots, 1U));
    limit_ = same ? std::min(limit_, limit) : limit;
    successes_ = 0;
    if (phase == target_phase::ejected && !same)
    {
        become_ejected(now);
    }
}

void target_admission::become_cold()
{
    phase_ = target_phase::cold;
    limit_ = 1;
    successes_ = 0;
}

void target_admission::become_slow(time_point now)
{
    phase_ = target_phase::slow;
    limit_ = 1;
    slow_since_ = now;
}

void target_admission::become_ejected(time_point now)
{
    phase_ = target_phase::ejected;
    limit_ = 1;
    successes_ = 0;
    back_off_ = std::clamp(back_off_ * 2, first_back_off, max_back_off);
    ejected_at_ = now;
    trial_at_ = now + back_off_;
}

void target_admission::on_success(
    const place& ended, const service_time_model& model, time_point now)
{
    const duration elapsed = now - ended.started;
    const bool in_time = elapsed <= model.late_bound();
    evidence_ = std::clamp(
        decayed_evidence(model, now) + model.finished_log_likelihood_ratio(elapsed), 0.0,
        max_finished_evidence);
    evidence_at_ = now;

    // An observed completion is newer than the state of an earlier owner.
    restored_ = true;
    failures_ = 0;
    switch (phase_)
    {
    case target_phase::ejected:
        become_cold();
        break;
    case target_phase::cold:
        if (!in_time)
        {
            become_cold();
        }
        else if (++successes_ >= limit_)
        {
            successes_ = 0;
            if (limit_ < row_.slots)
            {
                ++limit_;
            }
            if (limit_ >= row_.slots)
            {
                phase_ = target_phase::warm;
                back_off_ = duration::zero();
            }
        }
        break;
    case target_phase::slow:
        // A late request that was granted in this phase makes the target cold. Those granted before
        // caused the phase and carry no new information.
        if (!in_time)
        {
            if (ended.granted > slow_since_)
            {
                become_cold();
            }
        }
        else if (slow_log_likelihood_ratio(model, now) < slow_threshold(row_) - slow_hysteresis)
        {
            phase_ = target_phase::warm;
        }
        break;
    case target_phase::warm:
        update_slow_phase(model, now);
        break;
    }
}

bool target_admission::failed(
    const place& ended, bool lost, const service_time_model& model, time_point now, bool may_eject)
{
    restored_ = true;
    ++failures_;
    const duration hold = model.median() * (1 << std::min(failures_ - 1, 10U));
    held_.push_back(now + std::min(hold, max_hold));
    if (phase_ == target_phase::ejected)
    {
        // Requests granted before the ejection carry no new information.
        if (ended.granted >= ejected_at_)
        {
            become_ejected(now);
        }
        return false;
    }
    if (failures_ >= eject_after_failures && may_eject)
    {
        become_ejected(now);
        return false;
    }
    if (lost || phase_ != target_phase::warm || failures_ >= cold_after_failures)
    {
        become_cold();
    }
    return failures_ >= eject_after_failures;
}

void target_admission::start_queued_requests(time_point now)
{
    const std::size_t running = std::min<std::size_t>(places_.size(), std::max(row_.slots, 1U));
    for (std::size_t position = 0; position < running; ++position)
    {
        if (!places_[position].running)
        {
            places_[position].running = true;
            places_[position].started = now;
        }
    }
}

void target_admission::apply_load_report(const completion_report& report, time_point now)
{
    if (!report.load)
    {
        return;
    }
    // Only the transition to cold counts: a target that always reports cold must not stay at a
    // limit of 1.
    const bool turned_cold = report.load->cold && !reported_cold_;
    reported_cold_ = report.load->cold;
    if (turned_cold && phase_ != target_phase::ejected && phase_ != target_phase::cold)
    {
        become_cold();
    }
    if (report.load->draining)
    {
        reports_draining_ = true;
        drain_check_at_ = now + drain_check_time;
    }
    else if (reports_draining_)
    {
        // The process may have been replaced in the meantime.
        reports_draining_ = false;
        become_cold();
    }
}

} // namespace catkintally::core
