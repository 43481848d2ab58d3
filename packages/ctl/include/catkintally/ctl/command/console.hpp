#pragma once

#include <boost/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace catkintally::ctl
{

/// Where a command writes to.
struct console
{
    /// Results.
    std::ostream& out;
    /// Errors and notes.
    std::ostream& err;
    /// True if results are JSON.
    bool json = false;
};

/// Lines of cells as aligned columns, each cell but the last padded to the widest of its column.
[[nodiscard]] std::string align(const std::vector<std::vector<std::string>>& lines);

} // namespace catkintally::ctl
