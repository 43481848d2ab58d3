#include <catkintally/core/targets/header_fields.hpp>
#include <catkintally/core/targets/parse_limit_statement.hpp>

#include <charconv>
#include <optional>

namespace catkintally::core
{

namespace
{

/// A higher limit cannot be meant for one target.
constexpr double max_limit = 1'000'000;

/// Longest part of a malformed header that is kept for the log.
constexpr std::size_t max_text = 64;

std::optional<double> parse_rate(std::string_view text)
{
    // from_chars also accepts a sign and the names of special values.
    const bool digits =
        !text.empty() && text.find_first_not_of("0123456789.") == std::string_view::npos;
    double rate = 0;
    const char* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, rate, std::chars_format::fixed);
    const bool valid = digits && parsed.ec == std::errc() && parsed.ptr == last;
    return valid && rate <= max_limit ? std::optional(rate) : std::nullopt;
}

} // namespace

limit_statement parse_limit_statement(const header_list& fields, std::string_view name)
{
    const std::string* found = nullptr;
    bool contradictory = false;
    for (const auto& [field, value] : fields)
    {
        if (is_same_header(field, name))
        {
            contradictory = contradictory || (found != nullptr && *found != value);
            found = &value;
        }
    }
    if (found == nullptr)
    {
        return {};
    }
    const auto rate = contradictory ? std::nullopt : parse_rate(*found);
    if (!rate)
    {
        return {.kind = limit_statement_kind::malformed, .text = found->substr(0, max_text)};
    }
    return {.kind = limit_statement_kind::named, .per_second = *rate};
}

} // namespace catkintally::core
