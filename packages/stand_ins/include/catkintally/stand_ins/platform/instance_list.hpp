#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <map>
#include <string>

namespace catkintally::stand_ins
{

/// The platform's list of live and leaving instances. A change becomes visible after a lag.
class instance_list
{
public:
    /// `timers` must outlive this object.
    explicit instance_list(core::timer_service& timers)
        : timers_(timers)
    {
    }
    ~instance_list();
    instance_list(const instance_list&) = delete;
    instance_list& operator=(const instance_list&) = delete;

    /// Delay of later changes.
    void set_lag(core::duration lag) { lag_ = lag; }

    /// Adds or replaces the entry of an instance; `entry` is JSON text.
    void set(const std::string& id, std::string entry);

    /// Removes an instance.
    void remove(const std::string& id);

    /// Entries as the API shows them, by instance id.
    [[nodiscard]] const std::map<std::string, std::string>& visible() const { return visible_; }

private:
    void after_lag(std::function<void()> change);

    core::timer_service& timers_;
    core::duration lag_{};
    std::map<std::string, std::string> visible_;
    std::uint64_t next_change_ = 1;
    std::map<std::uint64_t, core::timer_id> pending_;
};

} // namespace catkintally::stand_ins
