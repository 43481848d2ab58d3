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

using optional_error = std::optional<column_error>;

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

bool has_only(std::string_view text, std::string_view other_characters, bool lower, bool upper)
{
    return std::all_of(
        text.begin(), text.end(),
        [&](char c)
        {
            return (lower && c >= 'a' && c <= 'z') || (upper && c >= 'A' && c <= 'Z') ||
                   (c >= '0' && c <= '9') || other_characters.find(c) != std::string_view::npos;
        });
}

optional_error check_text(column_type type, const std::string& text)
{
    constexpr std::size_t max_host_length = 253;
    constexpr std::size_t max_path_length = 1024;
    constexpr std::size_t max_name_length = 64;
    switch (type)
    {
    case column_type::name:
        if (text.empty() || text.size() > max_name_length || !has_only(text, "-", true, false))
        {
            return bad_text(text, "1 to 64 characters of a-z, 0-9 and '-'");
        }
        break;
    case column_type::host:
        if (text.size() > max_host_length || !has_only(text, "-.", true, false))
        {
            return bad_text(
                text, "empty or a host name without port, at most 253 characters of a-z, 0-9, "
                      "'-' and '.'");
        }
        break;
    case column_type::path:
        if (!text.starts_with('/') || text.size() > max_path_length ||
            std::any_of(
                text.begin(), text.end(),
                [](char c) { return c <= ' ' || c == 0x7f || c == '?' || c == '#'; }))
        {
            return bad_text(
                text, "a path of at most 1024 ASCII characters that starts with '/' and has no "
                      "spaces, control characters, '?' or '#'");
        }
        break;
    case column_type::header:
        if (text.size() > max_name_length || !has_only(text, "!#$%&'*+-.^_`|~", true, true))
        {
            return bad_text(text, "empty or an HTTP header name of at most 64 characters");
        }
        break;
    case column_type::address:
        if (!parse_endpoint(text))
        {
            return column_error{
                table_error_kind::bad_address, '\'' + text +
                                                   "' must be IPv4:port or [IPv6]:port with a "
                                                   "port from 1 to 65535"};
        }
        break;
    default:
        break;
    }
    return std::nullopt;
}

optional_error check_number(std::uint64_t value, std::uint64_t min, std::uint64_t max)
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
optional_error check_unique(const std::vector<Value>& list)
{
    for (auto each = list.begin(); each != list.end(); ++each)
    {
        if (std::find(list.begin(), each, *each) != each)
        {
            return column_error{
                table_error_kind::bad_text, "lists a value more than once, "
                                            "each value must be unique"};
        }
    }
    return std::nullopt;
}

optional_error check_methods(const std::vector<std::string>& methods)
{
    constexpr std::size_t max_method_length = 16;
    for (const auto& each : methods)
    {
        const bool letters =
            std::all_of(each.begin(), each.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
        if (each.empty() || each.size() > max_method_length || !letters)
        {
            return bad_text(each, "an HTTP method of 1 to 16 upper-case letters");
        }
    }
    return check_unique(methods);
}

template <class Number>
optional_error parse_number(std::string_view text, Number& value)
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
        return wrong_type("a non-negative integer");
    }
    return std::nullopt;
}

template <class Number>
optional_error number_from_json(const json::value& value, Number& number)
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
        return wrong_type("a non-negative integer");
    }
    return column_error{
        table_error_kind::out_of_range, json::serialize(value) + " must be a non-negative integer "
                                                                 "in the range of the column"};
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
optional_error parse_choice(std::string_view text, choice_of<Row>& value)
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
std::string column_to_text(const Row& row, const column<Row>& descriptor)
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
        descriptor.member);
}

template <class Row>
std::optional<column_error>
set_column_from_text(Row& row, const column<Row>& descriptor, std::string_view text)
{
    const auto parse_error = std::visit(
        overloaded{
            [&](std::string Row::*member) -> optional_error
            {
                row.*member = text;
                return std::nullopt;
            },
            [&](std::uint32_t Row::*member) { return parse_number(text, row.*member); },
            [&](std::uint64_t Row::*member) { return parse_number(text, row.*member); },
            [&](std::vector<std::string> Row::*member) -> optional_error
            {
                const auto words = split(text);
                (row.*member).assign(words.begin(), words.end());
                return std::nullopt;
            },
            [&](std::vector<std::uint16_t> Row::*member) -> optional_error
            {
                (row.*member).clear();
                for (const auto word : split(text))
                {
                    if (auto error = parse_number(word, (row.*member).emplace_back()))
                    {
                        return error;
                    }
                }
                return std::nullopt;
            },
            [&](choice_of<Row> Row::*member) { return parse_choice<Row>(text, row.*member); }},
        descriptor.member);
    return parse_error ? parse_error : check_column(row, descriptor);
}

template <class Row>
json::value column_to_json(const Row& row, const column<Row>& descriptor)
{
    return std::visit(
        overloaded{
            [&](choice_of<Row> Row::*member) -> json::value
            { return json::string(choice_name<Row>(row.*member)); },
            [&](auto member) -> json::value { return json::value_from(row.*member); }},
        descriptor.member);
}

template <class Row>
std::optional<column_error>
set_column_from_json(Row& row, const column<Row>& descriptor, const json::value& value)
{
    const auto read_list = [&](auto& values, std::string_view expected,
                               auto convert) -> optional_error
    {
        if (!value.is_array())
        {
            return wrong_type(expected);
        }
        values.clear();
        for (const auto& each : value.get_array())
        {
            if (auto error = convert(each, values.emplace_back()))
            {
                return error;
            }
        }
        return std::nullopt;
    };
    const auto read_string = [](const json::value& from, std::string& to) -> optional_error
    {
        if (!from.is_string())
        {
            return wrong_type("a string");
        }
        to = from.get_string();
        return std::nullopt;
    };
    const auto parse_error = std::visit(
        overloaded{
            [&](std::string Row::*member) { return read_string(value, row.*member); },
            [&](std::uint32_t Row::*member) { return number_from_json(value, row.*member); },
            [&](std::uint64_t Row::*member) { return number_from_json(value, row.*member); },
            [&](std::vector<std::string> Row::*member)
            { return read_list(row.*member, "an array of strings", read_string); },
            [&](std::vector<std::uint16_t> Row::*member) {
                return read_list(
                    row.*member, "an array of numbers", number_from_json<std::uint16_t>);
            },
            [&](choice_of<Row> Row::*member) -> optional_error
            {
                return value.is_string() ? parse_choice<Row>(value.get_string(), row.*member)
                                         : wrong_type("a string");
            }},
        descriptor.member);
    return parse_error ? parse_error : check_column(row, descriptor);
}

template <class Row>
std::optional<column_error> check_column(const Row& row, const column<Row>& descriptor)
{
    return std::visit(
        overloaded{
            [&](std::string Row::*member) { return check_text(descriptor.type, row.*member); },
            [&](std::uint32_t Row::*member)
            { return check_number(row.*member, descriptor.min, descriptor.max); },
            [&](std::uint64_t Row::*member)
            { return check_number(row.*member, descriptor.min, descriptor.max); },
            [&](std::vector<std::string> Row::*member) { return check_methods(row.*member); },
            [&](std::vector<std::uint16_t> Row::*member)
            {
                for (const auto each : row.*member)
                {
                    if (auto error = check_number(each, descriptor.min, descriptor.max))
                    {
                        return error;
                    }
                }
                return check_unique(row.*member);
            },
            [&](choice_of<Row> Row::*) { return optional_error(); }},
        descriptor.member);
}

// NOLINTBEGIN(bugprone-macro-parentheses): a type name cannot be parenthesised here.
#define CATKINTALLY_INSTANTIATE_COLUMN_FUNCTIONS(Row)                                              \
    template std::string column_to_text(const Row&, const column<Row>&);                           \
    template std::optional<column_error> set_column_from_text(                                     \
        Row&, const column<Row>&, std::string_view);                                               \
    template json::value column_to_json(const Row&, const column<Row>&);                           \
    template std::optional<column_error> set_column_from_json(                                     \
        Row&, const column<Row>&, const json::value&);                                             \
    template std::optional<column_error> check_column(const Row&, const column<Row>&);
CATKINTALLY_INSTANTIATE_COLUMN_FUNCTIONS(service_row)
CATKINTALLY_INSTANTIATE_COLUMN_FUNCTIONS(domain_row)
CATKINTALLY_INSTANTIATE_COLUMN_FUNCTIONS(target_row)
#undef CATKINTALLY_INSTANTIATE_COLUMN_FUNCTIONS
// NOLINTEND(bugprone-macro-parentheses)

} // namespace catkintally::core
