#include <catkintally/entry/table/missing_entry_hold.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::entry
{

namespace
{

using std::chrono::milliseconds;

/// Entries that expired while the store was unavailable are registered again within about two
/// seconds of its return.
constexpr auto reregistration_time = milliseconds(2200);

/// A removed target may be used for two seconds after the store acknowledged the removal. The rest
/// is for requests on their way.
constexpr auto max_use_after_removal = milliseconds(1950);

} // namespace

missing_entry_hold::missing_entry_hold(missing_entry_hold_options options)
    : options_(std::move(options))
{
}

void missing_entry_hold::note_store_returned(core::time_point now)
{
    returned_at_ = now;
    reregistered_by_ = now + reregistration_time;
}

void missing_entry_hold::note_answered_again(core::time_point now)
{
    // A failure of this instance alone does not let entries expire.
    if (!options_.is_store_away || options_.is_store_away())
    {
        note_store_returned(now);
    }
}

core::time_point missing_entry_hold::hold_until(core::time_point now)
{
    // Changes that the first answers after an outage show arrive before the report that the store
    // answers.
    if (options_.is_store_away && options_.is_store_away())
    {
        note_store_returned(now);
    }
    if (reregistered_by_ <= now)
    {
        return now;
    }
    // Removed after the latest answer if that came after the outage.
    const auto contact = options_.last_store_contact ? options_.last_store_contact() : std::nullopt;
    return contact && *contact > returned_at_
               ? std::min(reregistered_by_, *contact + max_use_after_removal)
               : reregistered_by_;
}

} // namespace catkintally::entry
