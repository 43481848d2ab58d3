#pragma once

#include <catkintally/core/limits/organisation_quota.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// How a quota_fleet is built. The load grows with the number of instances.
struct quota_fleet_options
{
    std::size_t instances = 120;
    std::size_t failure_domains = 4;
    /// Ranks of the organisations that are played, out of 80; empty: all.
    std::vector<std::size_t> ranks{};
    /// Callers of all 80 organisations and their requests per second, for each instance.
    double callers_per_instance = 1600.0 / 120;
    double requests_per_s_per_instance = 924.0 / 120;
    /// Quota as a multiple of the usual rate; its burst is that of one second.
    double quota_factor = 1.6;
    /// Shortest and longest time that a report takes from one instance to another.
    duration min_news_delay = std::chrono::milliseconds(5);
    duration max_news_delay = std::chrono::milliseconds(400);
    /// Longest time that a message takes over one link.
    duration max_hop_delay = std::chrono::milliseconds(10);
    /// Part of the reports and of the messages over a link that are lost.
    double loss = 0;
    duration longest_wait = std::chrono::milliseconds(400);
    bool lends = true;
    std::uint64_t seed = 1;
};

/// Instances with the real quota code and callers of organisations, in virtual time. Each caller
/// sends to one instance; after a refusal it tries once more, at another one.
class quota_fleet
{
public:
    explicit quota_fleet(quota_fleet_options options);

    /// Advances the time while callers send requests.
    void run(duration span);

    /// Changes the rate of an organisation's callers, as a multiple of the usual one.
    void set_load(std::size_t organisation, double factor);
    void set_all_loads(double factor);
    /// All requests of the organisation come to this instance; nullopt: to its callers' ones.
    void crowd(std::size_t organisation, std::optional<std::size_t> instance);
    /// All instances get `count` requests of the organisation at this moment, spread over them.
    void burst(std::size_t organisation, std::size_t count);
    /// Changes the quota as a multiple of the usual rate.
    void set_quota(std::size_t organisation, double factor);
    /// Messages do not pass between the domain and the others, which stay in contact.
    void isolate_domain(std::optional<std::size_t> domain);
    /// All instances believe that the store is out of reach.
    void set_store_reachable(bool reachable) { store_reachable_ = reachable; }
    void kill(std::size_t instance);
    /// The instance starts with empty memory and with what its neighbours know.
    void restart(std::size_t instance);
    /// The instance stands still; its requests arrive afterwards.
    void freeze(std::size_t instance, duration span);

    /// Largest number of requests in any window as a part of the bound, and of which organisation.
    [[nodiscard]] double largest_part(time_point from) const;
    /// Part of the requests since `from` that were refused at their first, and at both attempts.
    [[nodiscard]] double refused_at_first(time_point from) const;
    [[nodiscard]] double refused_in_the_end(time_point from) const;
    /// As refused_at_first(), of one organisation.
    [[nodiscard]] double refused_of(std::size_t organisation, time_point from) const;
    /// Requests per second of the organisation that were executed since `from`, as a part of its
    /// quota.
    [[nodiscard]] double used(std::size_t organisation, time_point from) const;
    [[nodiscard]] std::size_t organisations() const { return organisations_.size(); }
    [[nodiscard]] std::size_t size() const { return instances_.size(); }

    manual_timer_service timers;
    /// Reports, messages with reports and messages about tokens (over one link) that were sent.
    std::size_t reports = 0;
    std::size_t report_messages = 0;
    std::size_t token_messages = 0;

private:
    struct played_organisation
    {
        organisation_row row;
        double usual_rate = 0;
        double load = 1;
        std::vector<std::size_t> callers;
        std::optional<std::size_t> crowded;
        std::vector<time_point> executed;
        std::vector<time_point> arrived;
        std::vector<time_point> refused_first;
        std::vector<time_point> refused_second;
        std::uint64_t generation = 0;
    };
    struct played_instance
    {
        std::size_t number = 0;
        std::string name;
        std::uint64_t incarnation = 0;
        time_point frozen_until{};
        std::vector<std::string> neighbours;
        std::unique_ptr<organisation_quota> quota;
    };

    void link();
    void start(played_instance& self);
    void send_reports(const played_instance& from, const std::vector<demand_report>& reports);
    void deliver_reports(
        std::size_t origin,
        std::size_t number,
        const std::shared_ptr<const std::vector<demand_report>>& own);
    void send_tokens(const played_instance& from, const std::string& to, const token_message&);
    void schedule_request(std::size_t organisation);
    void send_request(std::size_t organisation, std::size_t instance, bool first);
    void apply_table();
    [[nodiscard]] bool is_cut(std::size_t a, std::size_t b) const;
    [[nodiscard]] bool is_isolated(std::size_t instance) const;
    [[nodiscard]] std::size_t other_instance(std::size_t instance);
    [[nodiscard]] double uniform();
    [[nodiscard]] static std::size_t count(const std::vector<time_point>& times, time_point from);

    quota_fleet_options options_;
    split_mix random_;
    table_snapshot table_;
    std::vector<played_organisation> organisations_;
    std::vector<std::unique_ptr<played_instance>> instances_;
    std::map<std::string, std::size_t> numbers_;
    /// Neighbour of the second instance on the shortest way to the first one.
    std::vector<std::vector<std::uint16_t>> ways_;
    std::optional<std::size_t> isolated_;
    time_point isolated_at_{};
    bool store_reachable_ = true;
    bool started_ = false;
};

} // namespace catkintally::core
