#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace catkintally::core
{

/// How a limited_fleet is built.
struct limited_fleet_options
{
    std::size_t instances = 13;
    std::size_t targets = 8;
    std::size_t failure_domains = 3;
    /// Requests of callers per second, all instances together.
    double requests_per_s = 60;
    /// Time that a target works on a request.
    duration service_time = std::chrono::milliseconds(20);
    /// Shortest and longest time that news take from one instance to another.
    duration min_news_delay = std::chrono::milliseconds(5);
    duration max_news_delay = std::chrono::milliseconds(400);
    /// Part of the news that are lost between two instances.
    double news_loss = 0;
    /// Estimated number of instances divided by the true one.
    double size_estimate_error = 1;
    std::uint64_t seed = 1;
};

/// Instances with the real admission code against targets that name limits, in virtual time. The
/// targets count each request that reaches them. Callers retry once after a refusal, when the
/// refusal tells them to.
class limited_fleet
{
public:
    explicit limited_fleet(limited_fleet_options options);
    ~limited_fleet();
    limited_fleet(const limited_fleet&) = delete;
    limited_fleet& operator=(const limited_fleet&) = delete;

    /// Advances the time while callers send requests.
    void run(duration span);

    /// The target names this limit from now on; nullopt: none.
    void set_limit(std::size_t target, std::optional<double> per_second);

    /// Status with which the target answers; 503 answers are refusals without execution.
    void set_status(std::size_t target, std::uint16_t status) { targets_[target].status = status; }

    /// Callers send their requests only to this part of the instances.
    void crowd(std::set<std::size_t> instances) { crowded_ = std::move(instances); }

    /// Changes the rate of the callers' requests.
    void set_requests_per_s(double rate) { options_.requests_per_s = rate; }

    /// News do not pass between instances with even and with odd numbers.
    void separate_halves(bool separated) { halves_separated_ = separated; }

    /// The instance loses its memory and starts again at once with the news of the others.
    void restart(std::size_t instance);
    /// The instance ends for good.
    void kill(std::size_t instance);
    void add_instance();
    /// The instance stands still for `span`; its steady clock goes on.
    void freeze(std::size_t instance, duration span);
    /// The target starts again under the same name, and the table tells so.
    void restart_target(std::size_t target);

    /// Largest number of requests that the target got in any 4 s that begin at or after `from`.
    [[nodiscard]] std::size_t largest_window(std::size_t target, time_point from) const;
    /// Requests per second that the target got since `from`.
    [[nodiscard]] double rate(std::size_t target, time_point from) const;

    struct refusal
    {
        time_point at{};
        decision_code code{};
        duration took{};
        duration retry_after{};
    };

    manual_timer_service timers;
    std::vector<refusal> refusals;
    std::size_t answered = 0;
    /// News messages and demand reports that instances sent to each other.
    std::size_t limit_messages = 0;
    std::size_t demand_reports = 0;

private:
    struct simulated_target
    {
        std::optional<double> limit;
        std::uint16_t status = 200;
        std::uint64_t incarnation = 1;
        std::uint32_t running = 0;
        std::deque<time_point> arrivals;
    };
    struct simulated_instance
    {
        std::size_t number = 0;
        std::string name;
        std::string failure_domain;
        std::uint64_t incarnation = 1;
        time_point frozen_until{};
        std::unique_ptr<target_rate_limiter> limiter;
        std::unique_ptr<probing_gateway> probing;
        admission_gateway gateway;
    };

    void start(simulated_instance& self);
    void apply_table();
    void schedule_request();
    void send_request(std::size_t instance, bool may_retry);
    void on_decision(
        std::size_t instance,
        request_id id,
        time_point asked,
        bool may_retry,
        const admission_answer& answer);
    void
    deliver(const simulated_instance& from, const std::function<void(simulated_instance&)>& news);
    [[nodiscard]] limit_statement statement_of(const simulated_target& target) const;
    [[nodiscard]] std::size_t index_of(const std::string& target) const;
    [[nodiscard]] double uniform();

    limited_fleet_options options_;
    split_mix random_;
    table_snapshot table_;
    std::vector<simulated_target> targets_;
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::set<std::size_t> crowded_;
    request_id next_request_ = 1;
    bool calling_ = false;
    bool halves_separated_ = false;
};

} // namespace catkintally::core
