#include <catkintally/core/admission/domain_overflow.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace catkintally::core
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Memory of probes at home: several times the 150 ms for which a target is slow, and a few probes
/// even of an instance with one request per second.
constexpr duration home_memory = seconds(2);

/// Memory of probes elsewhere, which are rarer.
constexpr duration remote_memory = seconds(4);

/// With fewer decayed probes nothing is known of another domain. At 0.5 an instance whose first
/// probes happened to find nothing stayed at home for seconds, beside domains with some room.
constexpr double known_count = 1.5;

/// Without evidence, home is assumed to be in its usual state: 30 % of the targets are slow at any
/// time. Two probes' worth, so that one round without a usable slot is not yet a shortage.
constexpr probe_prior home_prior{.usable = 0.7, .weight = 2};

/// Assumption about another domain that has not been probed lately; worth a round of probes.
constexpr probe_prior unknown_prior{.usable = 0.6, .weight = 1};

/// Most that is assumed about another domain beside its probes. It is not assumed to be better than
/// home either: where all domains are short, a few probes without a usable slot would still leave
/// hope, and a tenth of the requests went elsewhere for nothing.
constexpr probe_prior known_prior{.usable = 0.2, .weight = 2};

/// Rounds before a request pauses, and the length of the pause, as in probing_gateway.
constexpr double rounds_per_cycle = 3;
constexpr double pause_ms = 30;

/// A refused caller loses its objective, and comes back.
constexpr double default_refusal_ms = 1'000;

/// Typical ratio of the latency objective to the usual time of the work, for a service of which no
/// response has been seen.
constexpr double objective_to_work = 2.5;

/// Usual time of work without an objective and without a response seen.
constexpr double default_work_ms = 100;

/// Staying must cost this many times as much as leaving. Both are estimated from few probes; at
/// less, requests leave although all domains are equally short.
constexpr double min_advantage = 1.25;

/// The fraction rises above this relative advantage of leaving, (stay - leave) / (stay + leave),
/// and falls below the lower one; it is held in between.
constexpr double rise_above = 0.35;
constexpr double fall_below = 0.2;

/// Fastest changes of the fraction per second. A change shows in probes after the time that work
/// takes, about a second; faster changes overshoot.
constexpr double max_rise_per_s = 0.1;
constexpr double max_fall_per_s = 0.2;

/// Some first rounds always stay at home, so that its recovery is noticed.
constexpr double max_fraction = 0.8;

/// Largest fraction before the other domains are known: enough to get to know them. With more, a
/// tenth of the requests changed domains where all were equally busy.
constexpr double max_exploring_fraction = 0.04;

/// First rounds go elsewhere only while a round there succeeds with this probability.
constexpr double min_found_elsewhere = 0.5;

/// Targets of another domain in the subset of an instance, at least, and mean number of instances
/// of a domain that have a target in their subset. Half of those at home (target_subset.cpp), since
/// the requests that leave are fewer.
constexpr std::size_t min_remote_subset = 4;
constexpr std::size_t instances_per_target = 4;

/// Weight of new responses in the moving means.
constexpr double response_weight = 0.05;

/// Departures in this memory, and how many of them begin and end an overflow. The end is at least
/// seven seconds after the start, which limits the rate of log events.
constexpr duration departure_memory = seconds(3);
constexpr double start_departures = 3;
constexpr double end_departures = 0.3;

double to_ms(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

domain_overflow::domain_overflow(domain_overflow_options options)
    : options_(std::move(options))
    , random_(options_.seed)
    , home_(home_memory)
{
}

void domain_overflow::record_probe(
    const std::string& domain, const probe_outcome& outcome, time_point now)
{
    if (domain == options_.home)
    {
        home_.add(outcome, now);
        return;
    }
    others_.try_emplace(domain, remote_memory).first->second.add(outcome, now);
}

void domain_overflow::record_response(duration service_time, double kilobytes)
{
    const double weight = service_time_ms_ > 0 ? response_weight : 1;
    service_time_ms_ += weight * (to_ms(service_time) - service_time_ms_);
    response_kilobytes_ += weight * (kilobytes - response_kilobytes_);
}

void domain_overflow::advance(time_point now)
{
    const std::chrono::duration<double> age = now - departures_updated_;
    departures_ *= std::exp(-age / std::chrono::duration<double>(departure_memory));
    departures_updated_ = now;
    const bool active = active_ ? departures_ > end_departures : departures_ >= start_departures;
    if (std::exchange(active_, active) != active && options_.changed)
    {
        options_.changed(active);
    }
}

void domain_overflow::record_departure(time_point now)
{
    ++requests_;
    departures_ += 1;
    advance(now);
}

double domain_overflow::draw()
{
    return static_cast<double>(random_.next() >> 11U) * 0x1.0p-53;
}

probe_prior domain_overflow::remote_prior(const probe_statistics& domain, time_point now) const
{
    if (domain.count(now) < known_count)
    {
        return unknown_prior;
    }
    const double home = home_.usable(home_prior, now);
    return {.usable = std::min(home, known_prior.usable), .weight = known_prior.weight};
}

domain_overflow::remote_domains
domain_overflow::group(std::vector<remote_candidate> candidates, time_point now) const
{
    remote_domains domains;
    for (remote_candidate& each : candidates)
    {
        domains[each.domain].candidates.push_back(std::move(each));
    }
    for (auto& [name, domain] : domains)
    {
        const auto known = others_.find(name);
        domain.usable = known == others_.end()
                            ? unknown_prior.usable
                            : known->second.usable(remote_prior(known->second, now), now);
    }
    return domains;
}

domain_overflow::prospect domain_overflow::home_prospect(time_point now) const
{
    return {
        .usable = home_.usable(home_prior, now),
        .fast = home_.fast(home_prior, now),
        .slow_time = home_.slow_time(),
        .round_trip_ms = home_.round_trip_ms(1)};
}

domain_overflow::prospect
domain_overflow::remote_prospect(const remote_domains& domains, time_point now) const
{
    const double home_ms = home_.round_trip_ms(1);
    const double unknown_ms = home_ms + 2 * options_.settings.hop_cost_ms;
    prospect mean{.slow_time = 0};
    double weights = 0;
    for (const auto& [name, domain] : domains)
    {
        const probe_statistics unknown(remote_memory);
        const auto found = others_.find(name);
        const probe_statistics& known = found == others_.end() ? unknown : found->second;
        const double weight = domain.weight();
        weights += weight;
        mean.usable += weight * domain.usable;
        mean.fast += weight * known.fast(remote_prior(known, now), now);
        mean.slow_time += weight * known.slow_time();
        mean.round_trip_ms += weight * std::max(known.round_trip_ms(unknown_ms), unknown_ms);
    }
    for (double* each : {&mean.usable, &mean.fast, &mean.slow_time, &mean.round_trip_ms})
    {
        *each /= weights;
    }
    return mean;
}

double domain_overflow::round_success(double probability) const
{
    const auto probes = static_cast<double>(options_.targets_per_round);
    return 1 - std::pow(1 - probability, probes);
}

double domain_overflow::slowness_ms(const prospect& found, const overflow_question& question) const
{
    double work_ms = default_work_ms;
    if (service_time_ms_ > 0)
    {
        work_ms = service_time_ms_;
    }
    else if (question.objective_left > duration::zero())
    {
        work_ms = to_ms(question.objective_left) / objective_to_work;
    }
    // A round takes a fast slot if it finds one.
    const double fast = round_success(found.fast) / round_success(found.usable);
    return (1 - std::min(fast, 1.0)) * (found.slow_time - 1) * work_ms;
}

double domain_overflow::cost_ms(const prospect& found, const overflow_question& question) const
{
    const double success = round_success(found.usable);
    const double possible_rounds =
        rounds_per_cycle * (1 + std::floor(to_ms(question.probing_time) / pause_ms));
    const double failure = std::pow(1 - success, possible_rounds);
    const double rounds = (1 - failure) / success;
    const double refusal_ms = question.objective_left > duration::zero()
                                  ? to_ms(question.objective_left)
                                  : default_refusal_ms;
    return rounds * found.round_trip_ms + (rounds - 1) / rounds_per_cycle * pause_ms +
           failure * refusal_ms + (1 - failure) * slowness_ms(found, question);
}

domain_overflow::costs domain_overflow::compare(
    const overflow_question& question, const remote_domains& domains, time_point now) const
{
    costs expected;
    const prospect home = home_prospect(now);
    prospect remote = remote_prospect(domains, now);
    const auto is_known = [&](const auto& each)
    {
        const auto known = others_.find(each.first);
        return known != others_.end() && known->second.count(now) >= known_count;
    };
    expected.known_elsewhere = std::any_of(domains.begin(), domains.end(), is_known);
    if (question.round > 0 && !std::all_of(domains.begin(), domains.end(), is_known))
    {
        // That unknown targets may be faster is tried by few first rounds only.
        remote.fast = std::min(remote.fast, remote.usable * home.fast / home.usable);
    }
    const double kilobytes = question.kilobytes + response_kilobytes_;
    // The path of the probe is part of its round trip; the request takes it once more.
    const double path_ms = remote.round_trip_ms - home.round_trip_ms;
    expected.stay = cost_ms(home, question);
    expected.leave =
        cost_ms(remote, question) + path_ms + kilobytes * options_.settings.kilobyte_cost_ms;
    const double success = round_success(home.usable);
    expected.try_home = home.round_trip_ms + success * slowness_ms(home, question) +
                        (1 - success) * std::min(expected.stay, expected.leave);
    expected.found_elsewhere = round_success(remote.usable);
    return expected;
}

void domain_overflow::update_fraction(const costs& expected, time_point now)
{
    const std::chrono::duration<double> passed = now - std::exchange(fraction_updated_, now);
    const double advantage =
        (expected.try_home - expected.leave) / (expected.try_home + expected.leave);
    double change = 0;
    if (expected.found_elsewhere < min_found_elsewhere)
    {
        change = -max_fall_per_s * passed.count();
    }
    else if (advantage > rise_above)
    {
        // Longer pauses between requests are no evidence of a shortage that lasts.
        change = (advantage - rise_above) / (1 - rise_above) * max_rise_per_s *
                 std::min(passed.count(), 1.0);
    }
    else if (advantage < fall_below)
    {
        change = -std::min(fall_below - advantage, 0.5) * 2 * max_fall_per_s * passed.count();
    }
    // Growth ends at the limit; a fraction that is beyond it may only shrink.
    const double limit =
        std::max(expected.known_elsewhere ? max_fraction : max_exploring_fraction, fraction_);
    fraction_ = std::clamp(fraction_ + change, 0.0, limit);
}

bool domain_overflow::leaves(
    const overflow_question& question, const remote_domains& domains, time_point now)
{
    last_costs_ = compare(question, domains, now);
    if (question.round > 0)
    {
        return last_costs_.leave * min_advantage < last_costs_.stay;
    }
    if (!question.first)
    {
        return false;
    }
    update_fraction(last_costs_, now);
    return draw() < fraction_ && last_costs_.found_elsewhere >= min_found_elsewhere;
}

std::vector<remote_candidate> domain_overflow::choose(
    const overflow_question& question,
    std::vector<remote_candidate> candidates,
    std::size_t near_instances,
    time_point now)
{
    advance(now);
    remote_domains domains = group(std::move(candidates), now);
    if (domains.empty() || !leaves(question, domains, now))
    {
        return {};
    }
    double weights = 0;
    std::map<std::string, double> weight_of;
    for (auto& [name, domain] : domains)
    {
        auto& rows = domain.candidates;
        const std::size_t per_instance =
            rows.size() * instances_per_target / std::max<std::size_t>(near_instances, 1) + 1;
        const std::size_t count =
            std::min(rows.size(), std::max(per_instance, min_remote_subset) << question.round);
        weight_of[name] = domain.weight();
        weights += domain.weight();
        std::partial_sort(
            rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(count), rows.end(),
            [](const remote_candidate& a, const remote_candidate& b) { return a.rank < b.rank; });
        rows.resize(count);
    }
    std::vector<remote_candidate> chosen;
    while (chosen.size() < options_.targets_per_round && weights > 0)
    {
        double mark = draw() * weights;
        auto at = domains.begin();
        while (std::next(at) != domains.end() && mark >= weight_of[at->first])
        {
            mark -= weight_of[at->first];
            ++at;
        }
        auto& rows = at->second.candidates;
        const auto index = static_cast<std::size_t>(random_.next() % rows.size());
        chosen.push_back(std::move(rows[index]));
        rows.erase(rows.begin() + static_cast<std::ptrdiff_t>(index));
        // Halved, so that one round rarely asks only one domain.
        const double left = rows.empty() ? 0 : weight_of[at->first] / 2;
        weights -= std::exchange(weight_of[at->first], left) - left;
        if (rows.empty())
        {
            domains.erase(at);
            weights = domains.empty() ? 0 : weights;
        }
    }
    probes_ += chosen.size();
    return chosen;
}

} // namespace catkintally::core
