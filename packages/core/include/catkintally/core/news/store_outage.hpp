#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <optional>

namespace catkintally::core
{

/// Tells an outage of the store from the loss of the instances that read it, by the failed and
/// successful calls of all instances. Calls that fail over a longer span than the one in which all
/// instances call once show an outage, as does a failure that no answer follows for long. A single
/// failure may concern its caller only.
class store_outage
{
public:
    /// Records a call that failed while no instance was known that the store answers.
    void note_failure(time_point at);

    /// Records a call that the store answered. Returns true if that ended an outage.
    bool note_success(time_point at);

    /// True if calls have failed for some time and none was answered since.
    [[nodiscard]] bool is_lasting(time_point now) const;

private:
    std::optional<time_point> first_failure_;
    time_point last_failure_{};
    std::optional<time_point> last_success_;
};

} // namespace catkintally::core
