#include <catkintally/entry/http/http_head.hpp>

#include <algorithm>
#include <charconv>

namespace catkintally::entry
{

namespace
{

char to_lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// True if the text has no control characters except tab.
bool is_field_text(std::string_view text)
{
    return std::none_of(
        text.begin(), text.end(),
        [](unsigned char c) { return (c < ' ' && c != '\t') || c == 0x7f; });
}

} // namespace

bool equals_ignore_case(std::string_view left, std::string_view right)
{
    return std::equal(
        left.begin(), left.end(), right.begin(), right.end(),
        [](char a, char b) { return to_lower(a) == to_lower(b); });
}

const std::string* find_field(const header_list& fields, std::string_view name)
{
    const auto found = std::find_if(
        fields.begin(), fields.end(),
        [name](const auto& field) { return equals_ignore_case(field.first, name); });
    return found == fields.end() ? nullptr : &found->second;
}

bool is_token(std::string_view name)
{
    constexpr std::string_view special_characters = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(
                                name.begin(), name.end(),
                                [&](char c)
                                {
                                    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                                           (c >= 'A' && c <= 'Z') ||
                                           special_characters.find(c) != std::string_view::npos;
                                });
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") + 1 - first);
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    if (error != std::errc() || end != last)
    {
        return std::nullopt;
    }
    return number;
}

std::size_t find_head_end(std::string_view text, std::size_t from)
{
    for (auto line_end = text.find('\n', from); line_end != std::string_view::npos;
         line_end = text.find('\n', line_end + 1))
    {
        const auto rest = text.substr(line_end + 1);
        if (rest.starts_with('\n'))
        {
            return line_end + 2;
        }
        if (rest.starts_with("\r\n"))
        {
            return line_end + 3;
        }
    }
    return std::string_view::npos;
}

std::optional<http_head> parse_http_head(std::string_view text)
{
    http_head head;
    while (true)
    {
        const auto end = text.find("\r\n");
        if (end == std::string_view::npos)
        {
            return std::nullopt;
        }
        const auto line = text.substr(0, end);
        text.remove_prefix(end + 2);
        if (line.empty())
        {
            break;
        }
        if (!is_field_text(line))
        {
            return std::nullopt;
        }
        if (head.start_line.empty())
        {
            head.start_line = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
        {
            return std::nullopt;
        }
        head.fields.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
    }
    if (head.start_line.empty() || !text.empty())
    {
        return std::nullopt;
    }
    return head;
}

bool list_contains_token(std::string_view value, std::string_view wanted)
{
    while (!value.empty())
    {
        const auto comma = std::min(value.find(','), value.size());
        if (equals_ignore_case(trimmed(value.substr(0, comma)), wanted))
        {
            return true;
        }
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return false;
}

bool allows_keep_alive(const header_list& fields, bool is_http_1_1)
{
    bool reusable = is_http_1_1;
    for (const auto& [name, value] : fields)
    {
        if (equals_ignore_case(name, "Connection"))
        {
            reusable = reusable || list_contains_token(value, "keep-alive");
            if (list_contains_token(value, "close"))
            {
                return false;
            }
        }
    }
    return reusable;
}

body_framing parse_body_framing(const header_list& fields)
{
    body_framing framing;
    for (const auto& [name, value] : fields)
    {
        if (equals_ignore_case(name, "Content-Length"))
        {
            ++framing.content_length_count;
            framing.length = parse_number(value);
        }
        else if (equals_ignore_case(name, "Transfer-Encoding"))
        {
            ++framing.transfer_encoding_count;
            framing.chunked = equals_ignore_case(value, "chunked");
        }
    }
    return framing;
}

} // namespace catkintally::entry
