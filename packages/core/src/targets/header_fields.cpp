#include <catkintally/core/targets/header_fields.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace
{

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool is_same_header(std::string_view a, std::string_view b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(),
        [](char left, char right) { return to_lower(left) == to_lower(right); });
}

const std::string* find_header(const header_list& fields, std::string_view name)
{
    const auto found = std::find_if(
        fields.begin(), fields.end(),
        [name](const auto& field) { return is_same_header(field.first, name); });
    return found == fields.end() ? nullptr : &found->second;
}

} // namespace catkintally::core
