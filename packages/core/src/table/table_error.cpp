#include <catkintally/core/table/table_error.hpp>

#include <array>

namespace catkintally::core
{

std::string_view to_string(table_error_kind kind)
{
    constexpr std::array<std::string_view, 13> names = {
        "malformed",         "missing_column",         "unknown_column",
        "wrong_type",        "out_of_range",           "bad_text",
        "bad_address",       "duplicate_name",         "overlapping_route",
        "duplicate_address", "unknown_failure_domain", "unknown_service",
        "too_large"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string to_string(const table_error& error)
{
    std::string line = error.row;
    if (!error.column.empty())
    {
        line += ", column " + error.column;
    }
    return line + ": " + std::string(to_string(error.kind)) + ": " + error.reason;
}

} // namespace catkintally::core
