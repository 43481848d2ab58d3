#pragma once

#include <catkintally/core/admission/overflow_settings.hpp>
#include <catkintally/core/admission/probe_statistics.hpp>
#include <catkintally/core/admission/split_mix.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace catkintally::core
{

/// Fixed inputs of a domain_overflow.
struct domain_overflow_options
{
    overflow_settings settings{};
    /// Failure domain of this instance.
    std::string home{};
    std::uint64_t seed = 0;
    /// Targets probed per round.
    std::size_t targets_per_round = 3;
    /// Called when requests begin (true) or cease (false) to go to other domains; may be empty. A
    /// start and the following end are several seconds apart.
    std::function<void(bool)> changed{};
};

/// A request that is about to probe.
struct overflow_question
{
    /// Probe rounds since the request arrived or last paused.
    std::uint32_t round = 0;
    /// The request has not probed yet.
    bool first = true;
    /// Size of the request's body.
    double kilobytes = 0;
    /// Time left of the latency objective; zero if there is none.
    duration objective_left{};
    /// Time for which the request may go on probing.
    duration probing_time{};
};

/// A usable target of another failure domain.
struct remote_candidate
{
    std::string domain;
    /// Position of the target in the order of this instance; see target_rank.
    std::uint64_t rank = 0;
    /// Index in the list from which the candidates were built.
    std::size_t index = 0;
};

/// Snapshot for the dump of a process.
struct domain_overflow_dump
{
    struct domain
    {
        std::string name;
        double usable = 0;
        double fast = 0;
        double probes = 0;
    };
    std::string service;
    double fraction = 0;
    bool active = false;
    double home_cost_ms = 0;
    double remote_cost_ms = 0;
    std::uint64_t probes = 0;
    std::uint64_t requests = 0;
    std::vector<domain> domains;
};

/// Decides for one service whether a request probes targets of other failure domains although the
/// own one has targets left. Compares the expected cost of staying with that of leaving, by what
/// earlier probes have found. Two ways lead elsewhere: a later round of a request that found
/// nothing usable at home, and a slowly changing fraction of first rounds.
class domain_overflow
{
public:
    explicit domain_overflow(domain_overflow_options options);

    /// Records the outcome of a probe of a target in `domain`.
    void record_probe(const std::string& domain, const probe_outcome& outcome, time_point now);

    /// Records a request that a target has answered: how long it took, and the response's size.
    void record_response(duration service_time, double kilobytes);

    /// Records that a request which left its domain was granted a target elsewhere.
    void record_departure(time_point now);

    /// Records that time has passed without a departure.
    void advance(time_point now);

    /// Targets of other domains for the next probe round of the request, `targets_per_round` at
    /// most; none if the round stays at home. Spread over the domains in proportion to their
    /// candidates and to what probes found there, and in each domain from a small stable subset
    /// that doubles with the round. `near_instances`: instances in the own domain.
    [[nodiscard]] std::vector<remote_candidate> choose(
        const overflow_question& question,
        std::vector<remote_candidate> candidates,
        std::size_t near_instances,
        time_point now);

    /// Fraction of first rounds that goes to other domains.
    [[nodiscard]] double fraction() const { return fraction_; }

    [[nodiscard]] domain_overflow_dump dump(time_point now) const;

private:
    /// What a probe of a domain, or of a choice of domains, finds.
    struct prospect
    {
        double usable = 0;
        double fast = 0;
        double slow_time = 1;
        double round_trip_ms = 0;
    };
    /// Expected costs in milliseconds of a caller's time.
    struct costs
    {
        /// Going on at home for as long as the request may.
        double stay = 0;
        /// Probing at home once, and then the cheaper way.
        double try_home = 0;
        double leave = 0;
        /// Probability that a round of probes elsewhere finds a usable slot.
        double found_elsewhere = 0;
        /// At least one of the other domains has been probed lately.
        bool known_elsewhere = false;
    };

    /// Another domain with the targets that may be probed there.
    struct remote_domain
    {
        std::vector<remote_candidate> candidates;
        /// Probability that a probe finds a usable slot.
        double usable = 0;
        [[nodiscard]] double weight() const
        {
            return usable * static_cast<double>(candidates.size());
        }
    };
    using remote_domains = std::map<std::string, remote_domain>;

    [[nodiscard]] remote_domains
    group(std::vector<remote_candidate> candidates, time_point now) const;
    [[nodiscard]] bool
    leaves(const overflow_question& question, const remote_domains& domains, time_point now);
    [[nodiscard]] prospect home_prospect(time_point now) const;
    [[nodiscard]] prospect remote_prospect(const remote_domains& domains, time_point now) const;
    /// Prior for the probes of a domain; optimistic if nothing is known of it.
    [[nodiscard]] probe_prior remote_prior(const probe_statistics& domain, time_point now) const;
    /// Probability that a round finds what one probe finds with `probability`.
    [[nodiscard]] double round_success(double probability) const;
    [[nodiscard]] double
    slowness_ms(const prospect& found, const overflow_question& question) const;
    [[nodiscard]] double cost_ms(const prospect& found, const overflow_question& question) const;
    [[nodiscard]] costs
    compare(const overflow_question& question, const remote_domains& domains, time_point now) const;
    void update_fraction(const costs& expected, time_point now);
    [[nodiscard]] double draw();

    domain_overflow_options options_;
    split_mix random_;
    probe_statistics home_;
    std::map<std::string, probe_statistics> others_;
    /// Moving means over the responses; zero before the first one.
    double service_time_ms_ = 0;
    double response_kilobytes_ = 0;
    double fraction_ = 0;
    time_point fraction_updated_{};
    costs last_costs_{};
    bool active_ = false;
    /// Decaying number of departures, for the start and the end.
    double departures_ = 0;
    time_point departures_updated_{};
    std::uint64_t probes_ = 0;
    std::uint64_t requests_ = 0;
};

} // namespace catkintally::core
