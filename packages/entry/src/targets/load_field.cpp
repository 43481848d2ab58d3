#include <catkintally/entry/http/header_rules.hpp>
#include <catkintally/entry/targets/load_field.hpp>

#include <algorithm>
#include <limits>
#include <string_view>

namespace catkintally::entry
{

namespace
{

bool parse_parameter(std::string_view name, std::string_view value, core::load_report& report)
{
    if (name == "phase")
    {
        report.cold = value == "cold";
        report.draining = value == "draining";
        return report.cold || report.draining || value == "warm";
    }
    const auto number = parse_number(value);
    if (!number || (name != "running" && name != "queued"))
    {
        return false;
    }
    constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();
    (name == "running" ? report.running : report.queued) =
        static_cast<std::uint32_t>(std::min(*number, max_count));
    return true;
}

} // namespace

std::optional<core::load_report> parse_load_field(const header_list& fields)
{
    const std::string* field = find_field(fields, load_header);
    if (field == nullptr)
    {
        return std::nullopt;
    }
    core::load_report report;
    bool any_valid = false;
    std::string_view rest = *field;
    while (!rest.empty())
    {
        const auto end = std::min(rest.find(' '), rest.size());
        const auto parameter = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const auto equals = parameter.find('=');
        if (equals != std::string_view::npos)
        {
            any_valid = parse_parameter(
                            parameter.substr(0, equals), parameter.substr(equals + 1), report) ||
                        any_valid;
        }
    }
    return any_valid ? std::optional(report) : std::nullopt;
}

} // namespace catkintally::entry
