#pragma once

namespace catkintally::ctl
{

/// Exit codes of catkintallyctl, documented in docs/catkintallyctl.md.
enum class exit_code : int
{
    done = 0,
    /// A file cannot be read or written.
    file_error = 1,
    usage = 2,
    /// A value, row or file is not correct; nothing was written.
    invalid = 3,
    /// Another operator has changed a wanted value.
    conflict = 4,
    /// The platform's API did not answer or did not take the call.
    unavailable = 5,
    /// It cannot be told whether a write took effect.
    unknown = 6,
    /// The table's revision is not in force on every instance.
    not_in_force = 7,
    /// There is no such row, instance or request.
    not_found = 8,
    /// The change is stored, but together with another operator's change the table is not correct,
    /// so instances keep the older revision.
    stored_but_refused = 9
};

} // namespace catkintally::ctl
