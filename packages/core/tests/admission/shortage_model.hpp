#pragma once

#include <catkintally/core/admission/probing_gateway.hpp>
#include <catkintally/core/time/manual_timer_service.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace catkintally::core
{

/// A kind of request in the model.
struct request_kind
{
    std::string name;
    std::uint32_t priority = 0;
    double per_second = 0;
    duration work{};
    duration objective{};
    /// Worth of a response within the objective and of a later one.
    double worth = 1;
    double late_worth = 0.1;
    /// Organisation; empty for none.
    std::string organisation{};
    /// Factor on the rate during the second and third quarter of the run.
    double surge = 1;
};

/// How a shortage_model is built.
struct shortage_model_options
{
    std::vector<request_kind> kinds;
    std::vector<organisation_row> organisations{};
    /// False: the rule before the shortage policy.
    bool policy = true;
    std::uint64_t seed = 1;
    std::size_t instances = 24;
    std::size_t targets = 12;
    std::uint32_t slots = 6;
    /// Factor on the time of work that starts with more than 0.8 of the slots in use.
    double nearly_full_factor = 1.7;
    duration length = std::chrono::seconds(16);
    /// The load lasts longer by this time. Its requests are not counted: those that wait beyond the
    /// end of the load would be served by targets that are idle by then.
    duration uncounted = std::chrono::seconds(5);
    /// Fleet-wide rates of organisations are known.
    bool rates_known = false;
};

/// What happened to the requests of one kind.
struct kind_result
{
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t on_time = 0;
    double worth = 0;
    [[nodiscard]] double served_fraction() const
    {
        return static_cast<double>(served) / static_cast<double>(sent);
    }
};

/// Instances with the real admission code and targets of several slots, in virtual time. A target
/// is 1.7 times slower with more than 0.8 of its slots in use, and five times slower in 30 % of
/// intervals of 150 ms; work keeps the speed at which it starts. Callers return once after a
/// refusal, to another instance. The arrivals depend only on the kinds and the seed.
class shortage_model
{
public:
    explicit shortage_model(shortage_model_options options);

    /// Runs to the end; results by the names of the kinds.
    std::map<std::string, kind_result> run();

    /// Requests whose work targets could finish in a second at usual speed, with 0.8 of their slots
    /// in use.
    [[nodiscard]] double capacity() const;

    /// Health checks for each request.
    [[nodiscard]] double probes_per_request() const;

private:
    struct call
    {
        const request_kind* kind = nullptr;
        time_point sent_at{};
        duration work{};
        std::uint64_t draw = 0;
        bool returned = false;
    };

    void add_instance(std::size_t number);
    void add_arrivals(const request_kind& kind);
    [[nodiscard]] bool is_counted(const call& sent) const;
    void send(const call& sent);
    void start_work(const call& sent, std::size_t instance, request_id id, std::size_t target);
    [[nodiscard]] double slowdown(std::size_t target) const;
    double uniform();

    shortage_model_options options_;
    manual_timer_service timers_;
    split_mix random_;
    time_point begin_{};
    std::vector<std::uint32_t> running_;
    std::vector<std::unique_ptr<probing_gateway>> instances_;
    std::multimap<time_point, call> arrivals_;
    std::map<std::string, kind_result> results_;
    std::map<std::string, decaying_sum> rates_;
    request_id next_request_ = 1;
};

} // namespace catkintally::core
