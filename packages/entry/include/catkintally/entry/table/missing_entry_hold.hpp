#pragma once

#include <catkintally/core/time/timer_service.hpp>

#include <functional>
#include <optional>

namespace catkintally::entry
{

/// What a missing_entry_hold must know about the store. Both may be empty if this is the only
/// instance.
struct missing_entry_hold_options
{
    /// True while the store answers no instance that is known here, and has not for some time.
    std::function<bool()> is_store_away{};
    /// Time of the latest known answer of the store to any instance.
    std::function<std::optional<core::time_point>()> last_store_contact{};
};

/// Decides how long the targets stay in use whose entries disappear. Entries expire while the store
/// is unavailable and are registered again within about two seconds of its return. An entry that
/// disappears while the store is available has been removed, also if this instance learns of it
/// late because the readers of the store have failed.
class missing_entry_hold
{
public:
    explicit missing_entry_hold(missing_entry_hold_options options);

    /// Notes that the store is available again after it was not, or has returned from a copy.
    void note_store_returned(core::time_point now);

    /// Notes that the store answers this instance again after a call has failed.
    void note_answered_again(core::time_point now);

    /// Until when targets stay in use whose entries are found missing now; not later than `now` if
    /// they have been removed.
    [[nodiscard]] core::time_point hold_until(core::time_point now);

    /// Until when entries may be missing because they expired while the store was unavailable.
    [[nodiscard]] core::time_point reregistered_by() const { return reregistered_by_; }

private:
    missing_entry_hold_options options_;
    core::time_point returned_at_{};
    core::time_point reregistered_by_{};
};

} // namespace catkintally::entry
