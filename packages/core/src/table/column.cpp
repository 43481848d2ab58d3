#include <catkintally/core/table/column.hpp>

#include <catkintally/core/table/endpoint.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace catkintally::core
{

namespace json = boost::json;

namespace
{

using result = std::optional<column_error>;

template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

column_error wrong_type(std::string_view expected)
{
    return {table_error_kind::wrong_type, "must be " + std::string(expected)};
}

column_error bad_text(std::string_view text, std::string_view rule)
{
    return {
        table_error_kind::bad_text, '\'' + std::string(text) + "' must be " + std::string(rule)};
}

bool consists_of(std::string_view text, std::string_view extra, bool lower, bool upper)
{
    return std::all_of(
        text.begin(), text.end(),
        [&](char c)
        {
            return (lower && c >= 'a' && c <= 'z') || (upper && c >= 'A' && c <= 'Z') ||
                   (c >= '0' && c <= '9') || extra.find(c) != std::string_view::npos;
        });
}

result check_text(column_type type, const std::string& text)
{
    constexpr std::size_t longest_host = 253;
    constexpr std::size_t longest_path = 1024;
    constexpr std::size_t longest_name = 64;
    switch (type)
    {
    case column_type::name:
        if (text.empty() || text.size() > longest_name || !consists_of(text, "-", true, false))
        {
            return bad_text(text, "1 to 64 characters of a-z, 0-9 and '-'");
        }
        break;
    case column_type::host:
        if (text.size() > longest_host || !consists_of(text, "-.", true, false))
        {
            return bad_text(text, "a host name in lower case without port, or empty");
        }
        break;
    case column_type::path:
        if (!text.starts_with('/') || text.size() > longest_path ||
            std::any_of(
                text.begin(), text.end(),
                [](char c) { return c <= ' ' || c == 0x7f || c == '?' || c == '#'; }))
        {
            return bad_text(text, "a path that starts with '/', without spaces, '?' and '#'");
        }
        break;
    case column_type::header:
        if (text.size() > longest_name || !consists_of(text, "!#$%&'*+-.^_`|~", true, true))
        {
            return bad_text(text, "an HTTP header name, or empty");
        }
        break;
    case column_type::address:
        if (!parse_endpoint(text))
        {
            return column_error{
                table_error_kind::bad_address, '\'' + text + "' must be IP:port or [IPv6]:port"};
        }
        break;
    default:
        break;
    }
    return std::nullopt;
}

result check_number(std::uint64_t value, std::uint64_t min, std::uint64_t max)
{
    if (value >= min && value <= max)
    {
        return std::nullopt;
    }
    return column_error{
        table_error_kind::out_of_range, std::to_string(value) + " must be between " +
                                            std::to_string(min) + " and " + std::to_string(max)};
}

template <class Value>
result check_unique(const std::vector<Value>& list)
{
    for (auto each = list.begin(); each != list.end(); ++each)
    {
        if (std::find(list.begin(), each, *each) != each)
        {
            return column_error{table_error_kind::bad_text, "lists a value twice"};
        }
    }
    return std::nullopt;
}

result check_methods(const std::vector<std::string>& methods)
{
    constexpr std::size_t longest_method = 16;
    for (const auto& each : methods)
    {
        const bool letters =
            std::all_of(each.begin(), each.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
        if (each.empty() || each.size() > longest_method || !letters)
        {
            return bad_text(each, "an HTTP method in upper case");
        }
    }
    return check_unique(methods);
}

template <class Number>
result parse_number(std::string_view text, Number& value)
{
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec == std::errc::result_out_of_range)
    {
        return column_error{
            table_error_kind::out_of_range, std::string(text) + " must be at most " +
                                                std::to_string(std::numeric_limits<Number>::max())};
    }
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
    {
        return wrong_type("a whole number");
    }
    return std::nullopt;
}

template <class Number>
result number_from_json(const json::value& value, Number& number)
{
    boost::system::error_code error;
    const auto converted = value.to_number<Number>(error);
    if (!error)
    {
        number = converted;
        return std::nullopt;
    }
    if (!value.is_number())
    {
        return wrong_type("a whole number");
    }
    return column_error{
        table_error_kind::out_of_range, json::serialize(value) + " is not a number in range"};
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> words;
    while (true)
    {
        const auto first = text.find_first_not_of(' ');
        if (first == std::string_view::npos)
        {
            return words;
        }
        const auto end = std::min(text.find(' ', first), text.size());
        words.push_back(text.substr(first, end - first));
        text.remove_prefix(end);
    }
}

template <class Row>
using choice_of = typename row_traits<Row>::choice_type;

template <class Row>
std::string_view choice_name(choice_of<Row> value)
{
    for (const auto& [name, each] : row_traits<Row>::choices)
    {
        if (each == value)
        {
            return name;
        }
    }
    return "";
}

template <class Row>
result parse_choice(std::string_view text, choice_of<Row>& value)
{
    std::string names;
    for (const auto& [name, each] : row_traits<Row>::choices)
    {
        if (name == text)
        {
            value = each;
            return std::nullopt;
        }
        names += (names.empty() ? "" : ", ") + std::string(name);
    }
    return bad_text(text, "one of " + names);
}

constexpr column<service_row> service_columns[] = {
    {"name", &service_row::name, column_type::name},
    {"host", &service_row::host, column_type::host},
    {"path_prefix", &service_row::path_prefix, column_type::path},
    {"work_class", &service_row::work, column_type::choice},
    {"idempotent_methods", &service_row::idempotent_methods, column_type::methods},
    {"idempotency_key_header", &service_row::idempotency_key_header, column_type::header},
    {"queue_limit", &service_row::queue_limit, column_type::number, 0, 100'000},
    {"ahead", &service_row::ahead, column_type::number, 0, 16},
    {"deadline_ms", &service_row::deadline_ms, column_type::number, 1, 600'000},
    {"retry_budget_percent", &service_row::retry_budget_percent, column_type::number, 0, 100},
    {"probe_budget_per_s", &service_row::probe_budget_per_s, column_type::number, 0, 1'000},
    {"not_run_statuses", &service_row::not_run_statuses, column_type::statuses, 400, 599},
    {"key_retention_ms", &service_row::key_retention_ms, column_type::number, 1'000, 86'400'000},
    {"max_body_bytes", &service_row::max_body_bytes, column_type::number, 0, 67'108'864}};

constexpr column<domain_row> domain_columns[] = {
    {"name", &domain_row::name, column_type::name},
    {"state", &domain_row::state, column_type::choice}};

constexpr column<target_row> target_columns[] = {
    {"name", &target_row::name, column_type::name},
    {"address", &target_row::address, column_type::address},
    {"failure_domain", &target_row::failure_domain, column_type::name},
    {"slots", &target_row::slots, column_type::number, 1, 10'000},
    {"weight", &target_row::weight, column_type::number, 0, 10'000},
    {"state", &target_row::state, column_type::choice}};

} // namespace

template <>
std::span<const column<service_row>> columns_of<service_row>()
{
    return service_columns;
}

template <>
std::span<const column<domain_row>> columns_of<domain_row>()
{
    return domain_columns;
}

template <>
std::span<const column<target_row>> columns_of<target_row>()
{
    return target_columns;
}

template <class Row>
std::string column_to_text(const Row& row, const column<Row>& which)
{
    const auto joined = [](const auto& list, auto to_text)
    {
        std::string text;
        for (const auto& each : list)
        {
            text += (text.empty() ? "" : " ") + to_text(each);
        }
        return text;
    };
    return std::visit(
        overloaded{
            [&](std::string Row::*member) { return row.*member; },
            [&](std::uint32_t Row::*member) { return std::to_string(row.*member); },
            [&](std::uint64_t Row::*member) { return std::to_string(row.*member); },
            [&](std::vector<std::string> Row::*member)
            { return joined(row.*member, [](const std::string& each) { return each; }); },
            [&](std::vector<std::uint16_t> Row::*member) {
                return joined(row.*member, [](std::uint16_t each) { return std::to_string(each); });
            },
            [&](choice_of<Row> Row::*member)
            { return std::string(choice_name<Row>(row.*member)); }},
        which.member);
}

template <class Row>
std::optional<column_error>
set_column_from_text(Row& row, const column<Row>& which, std::string_view text)
{
    const auto problem = std::visit(
        overloaded{
            [&](std::string Row::*member) -> result
            {
                row.*member = text;
                return std::nullopt;
            },
            [&](std::uint32_t Row::*member) { return parse_number(text, row.*member); },
            [&](std::uint64_t Row::*member) { return parse_number(text, row.*member); },
            [&](std::vector<std::string> Row::*member) -> result
            {
                const auto words = split(text);
                (row.*member).assign(words.begin(), words.end());
                return std::nullopt;
            },
            [&](std::vector<std::uint16_t> Row::*member) -> result
            {
                (row.*member).clear();
                for (const auto word : split(text))
                {
                    if (auto wrong = parse_number(word, (row.*member).emplace_back()))
                    {
                        return wrong;
                    }
                }
                return std::nullopt;
            },
            [&](choice_of<Row> Row::*member) { return parse_choice<Row>(text, row.*member); }},
        which.member);
    return problem ? problem : check_column(row, which);
}

template <class Row>
json::value column_to_json(const Row& row, const column<Row>& which)
{
    return std::visit(
        overloaded{
            [&](choice_of<Row> Row::*member) -> json::value
            { return json::string(choice_name<Row>(row.*member)); },
            [&](auto member) -> json::value { return json::value_from(row.*member); }},
        which.member);
}

template <class Row>
std::optional<column_error>
set_column_from_json(Row& row, const column<Row>& which, const json::value& value)
{
    const auto list = [&](auto& target, std::string_view expected, auto convert) -> result
    {
        if (!value.is_array())
        {
            return wrong_type(expected);
        }
        target.clear();
        for (const auto& each : value.get_array())
        {
            if (auto wrong = convert(each, target.emplace_back()))
            {
                return wrong;
            }
        }
        return std::nullopt;
    };
    const auto text = [](const json::value& from, std::string& to) -> result
    {
        if (!from.is_string())
        {
            return wrong_type("a string");
        }
        to = from.get_string();
        return std::nullopt;
    };
    const auto problem = std::visit(
        overloaded{
            [&](std::string Row::*member) { return text(value, row.*member); },
            [&](std::uint32_t Row::*member) { return number_from_json(value, row.*member); },
            [&](std::uint64_t Row::*member) { return number_from_json(value, row.*member); },
            [&](std::vector<std::string> Row::*member)
            { return list(row.*member, "an array of strings", text); },
            [&](std::vector<std::uint16_t> Row::*member)
            { return list(row.*member, "an array of numbers", number_from_json<std::uint16_t>); },
            [&](choice_of<Row> Row::*member) -> result
            {
                return value.is_string() ? parse_choice<Row>(value.get_string(), row.*member)
                                         : wrong_type("a string");
            }},
        which.member);
    return problem ? problem : check_column(row, which);
}

template <class Row>
std::optional<column_error> check_column(const Row& row, const column<Row>& which)
{
    return std::visit(
        overloaded{
            [&](std::string Row::*member) { return check_text(which.type, row.*member); },
            [&](std::uint32_t Row::*member)
            { return check_number(row.*member, which.min, which.max); },
            [&](std::uint64_t Row::*member)
            { return check_number(row.*member, which.min, which.max); },
            [&](std::vector<std::string> Row::*member) { return check_methods(row.*member); },
            [&](std::vector<std::uint16_t> Row::*member)
            {
                for (const auto each : row.*member)
                {
                    if (auto wrong = check_number(each, which.min, which.max))
                    {
                        return wrong;
                    }
                }
                return check_unique(row.*member);
            },
            [&](choice_of<Row> Row::*) { return result(); }},
        which.member);
}

// NOLINTBEGIN(bugprone-macro-parentheses): a type cannot stand in parentheses here.
#define CATKINTALLY_ROW(Row)                                                                       \
    template std::string column_to_text(const Row&, const column<Row>&);                           \
    template std::optional<column_error> set_column_from_text(                                     \
        Row&, const column<Row>&, std::string_view);                                               \
    template json::value column_to_json(const Row&, const column<Row>&);                           \
    template std::optional<column_error> set_column_from_json(                                     \
        Row&, const column<Row>&, const json::value&);                                             \
    template std::optional<column_error> check_column(const Row&, const column<Row>&);
CATKINTALLY_ROW(service_row)
CATKINTALLY_ROW(domain_row)
CATKINTALLY_ROW(target_row)
#undef CATKINTALLY_ROW
// NOLINTEND(bugprone-macro-parentheses)

} // namespace catkintally::core
