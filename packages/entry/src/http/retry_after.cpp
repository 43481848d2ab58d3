#include <catkintally/entry/http/retry_after.hpp>

#include <algorithm>
#include <charconv>

namespace catkintally::entry
{

std::optional<core::duration> parse_retry_after(const header_list& fields)
{
    const std::string* field = find_field(fields, "Retry-After");
    if (field == nullptr || field->empty() ||
        field->find_first_not_of("0123456789.") != std::string::npos)
    {
        return std::nullopt;
    }
    double number = 0;
    const char* last = field->data() + field->size();
    const auto parsed = std::from_chars(field->data(), last, number, std::chars_format::fixed);
    if (parsed.ec != std::errc() || parsed.ptr != last)
    {
        return std::nullopt;
    }
    const std::chrono::duration<double> longest = max_retry_after;
    return std::chrono::ceil<core::duration>(
        std::min(std::chrono::duration<double>(number), longest));
}

} // namespace catkintally::entry
