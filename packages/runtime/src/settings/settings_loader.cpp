#include <catkintally/core/table/endpoint.hpp>
#include <catkintally/runtime/settings/setting_descriptor.hpp>
#include <catkintally/runtime/settings/settings_loader.hpp>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <event2/util.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

#include <sys/socket.h>

namespace catkintally::runtime
{

namespace
{

namespace leaf = boost::leaf;

/// An address is accepted only if it is numeric and names a port. evutil_parse_sockaddr_port, which
/// listeners use, ignores what follows the port and takes an IPv6 address without one.
bool is_address(const std::string& text)
{
    sockaddr_storage storage{};
    int length = sizeof storage;
    return core::parse_endpoint(text) &&
           evutil_parse_sockaddr_port(
               text.c_str(), reinterpret_cast<sockaddr*>(&storage), &length) == 0;
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start <= text.size())
    {
        const auto end = std::min(text.find(',', start), text.size());
        const auto first = text.find_first_not_of(" \t", start);
        if (first < end)
        {
            items.push_back(text.substr(first, text.find_last_not_of(" \t", end - 1) + 1 - first));
        }
        start = end + 1;
    }
    return items;
}

/// What a key accepts, for messages and for the printed file.
std::string accepted(const setting_descriptor& row)
{
    switch (row.type)
    {
    case setting_type::address:
        return "an IP address with a port";
    case setting_type::address_list:
        return "IP addresses with ports, separated by commas";
    case setting_type::integer:
    case setting_type::decimal:
        return "a number of " + std::string(row.unit) + " from " + std::to_string(row.min) +
               " to " + std::to_string(row.max);
    case setting_type::choice:
    {
        std::string names = "one of";
        for (const auto choice : row.choices)
        {
            names.append(" ").append(choice);
        }
        return names;
    }
    case setting_type::text:
    case setting_type::secret:
        break;
    }
    return "text";
}

template <typename Number, typename... Format>
std::optional<setting_value>
parse_number(const setting_descriptor& row, const std::string& text, Format... format)
{
    Number number{};
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number, format...);
    const bool in_range =
        number >= static_cast<Number>(row.min) && number <= static_cast<Number>(row.max);
    if (error != std::errc() || end != last || !in_range)
    {
        return std::nullopt;
    }
    return number;
}

/// Reads one value; nothing if the key does not accept it.
std::optional<setting_value> parse(const setting_descriptor& row, const std::string& text)
{
    switch (row.type)
    {
    case setting_type::integer:
        return parse_number<std::uint64_t>(row, text);
    case setting_type::decimal:
        return parse_number<double>(row, text, std::chars_format::fixed);
    case setting_type::address:
        return is_address(text) ? std::optional<setting_value>(text) : std::nullopt;
    case setting_type::address_list:
    {
        auto items = split_list(text);
        const bool valid =
            std::all_of(items.begin(), items.end(), is_address) && !(row.required && items.empty());
        return valid ? std::optional<setting_value>(std::move(items)) : std::nullopt;
    }
    case setting_type::choice:
        return setting_choice_index(text, row.choices) < row.choices.size()
                   ? std::optional<setting_value>(text)
                   : std::nullopt;
    case setting_type::text:
    case setting_type::secret:
        break;
    }
    return row.required && text.empty() ? std::nullopt : std::optional<setting_value>(text);
}

/// The first section or key that the schema does not list.
std::optional<settings_error> find_unknown(const boost::property_tree::ptree& tree)
{
    const auto rows = setting_descriptors();
    for (const auto& section : tree)
    {
        // A key before the first section is a child with data and without children.
        if (!section.second.data().empty())
        {
            return settings_error{
                .fault = settings_fault::unknown_key,
                .file = {},
                .section = {},
                .key = section.first,
                .detail = {}};
        }
        if (std::none_of(
                rows.begin(), rows.end(),
                [&](const auto& row) { return row.section == section.first; }))
        {
            return settings_error{
                .fault = settings_fault::unknown_section,
                .file = {},
                .section = section.first,
                .key = {},
                .detail = {}};
        }
        for (const auto& key : section.second)
        {
            const auto matches = [&](const auto& row)
            { return row.section == section.first && row.key == key.first; };
            if (std::none_of(rows.begin(), rows.end(), matches))
            {
                return settings_error{
                    .fault = settings_fault::unknown_key,
                    .file = {},
                    .section = section.first,
                    .key = key.first,
                    .detail = {}};
            }
        }
    }
    return std::nullopt;
}

std::string text_of(const setting_descriptor& row, const settings& values)
{
    const setting_value value = row.read(values);
    if (const auto* number = std::get_if<std::uint64_t>(&value))
    {
        return std::to_string(*number);
    }
    if (const auto* number = std::get_if<double>(&value))
    {
        std::ostringstream out;
        out << *number;
        return out.str();
    }
    if (const auto* text = std::get_if<std::string>(&value))
    {
        return row.type == setting_type::secret && !text->empty() ? "********" : *text;
    }
    std::string joined;
    for (const auto& item : *std::get_if<std::vector<std::string>>(&value))
    {
        joined += joined.empty() ? item : ", " + item;
    }
    return joined;
}

/// Name of the environment variable of a key.
std::string environment_name(std::string_view section, std::string_view key)
{
    std::string name = "CATKINTALLY_" + std::string(section) + '_' + std::string(key);
    std::transform(
        name.begin(), name.end(), name.begin(),
        [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; });
    return name;
}

} // namespace

std::string settings_error::message() const
{
    const std::string place = file + ": [" + section + "] " + key + ": ";
    switch (fault)
    {
    case settings_fault::unreadable:
        return file + ": cannot be read";
    case settings_fault::syntax:
        return file + ": " + detail;
    case settings_fault::unknown_section:
        return file + ": [" + section + "]: unknown section";
    case settings_fault::unknown_key:
        return place + "unknown key";
    case settings_fault::missing_key:
        return place + "missing key, expected " + detail;
    case settings_fault::bad_value:
        break;
    }
    return place + "bad value, expected " + detail;
}

leaf::result<settings>
read_settings(std::istream& in, const std::string& file, const environment_hook& environment)
{
    // Parse the text.
    boost::property_tree::ptree tree;
    try
    {
        boost::property_tree::read_ini(in, tree);
    }
    catch (const boost::property_tree::ini_parser_error& error)
    {
        return leaf::new_error(settings_error{
            .fault = settings_fault::syntax,
            .file = file,
            .section = {},
            .key = {},
            .detail = "line " + std::to_string(error.line()) + ": " + error.message()});
    }

    // Refuse every section and key that the schema does not list.
    if (auto fault = find_unknown(tree))
    {
        fault->file = file;
        return leaf::new_error(std::move(*fault));
    }

    // Check and assign the values.
    settings values;
    for (const auto& row : setting_descriptors())
    {
        const auto section = tree.find(std::string(row.section));
        const auto* keys = section == tree.not_found() ? nullptr : &section->second;
        auto found = keys == nullptr
                         ? boost::optional<std::string>()
                         : keys->get_optional<std::string>(
                               boost::property_tree::ptree::path_type(std::string(row.key), '\0'));
        if (!found && environment)
        {
            if (const auto text = environment(environment_name(row.section, row.key)))
            {
                found = *text;
            }
        }
        if (!found && !row.required)
        {
            continue;
        }
        const auto value = found ? parse(row, *found) : std::nullopt;
        if (!value)
        {
            return leaf::new_error(settings_error{
                .fault = found ? settings_fault::bad_value : settings_fault::missing_key,
                .file = file,
                .section = std::string(row.section),
                .key = std::string(row.key),
                .detail = accepted(row)});
        }
        row.assign(values, *value);
    }
    return values;
}

leaf::result<settings> load_settings(const std::string& path)
{
    std::ifstream in(path);
    if (!in)
    {
        return leaf::new_error(settings_error{
            .fault = settings_fault::unreadable,
            .file = path,
            .section = {},
            .key = {},
            .detail = {}});
    }
    return read_settings(
        in, path,
        [](const std::string& name)
        {
            // An empty variable is one that the hosting platform could not fill in.
            const char* text = std::getenv(name.c_str());
            return text == nullptr || *text == '\0' ? std::nullopt
                                                    : std::optional<std::string>(text);
        });
}

void print_settings(std::ostream& out, const settings& values)
{
    std::string_view section;
    for (const auto& row : setting_descriptors())
    {
        if (row.section != section)
        {
            out << (section.empty() ? "[" : "\n[") << row.section << "]\n";
            section = row.section;
        }
        out << "; " << row.help << " Accepts " << accepted(row);
        out << (row.required ? "; required.\n" : "; default '" + std::string(row.default_text));
        out << (row.required ? "" : "'.\n");
        out << row.key << " = " << text_of(row, values) << '\n';
    }
}

std::vector<std::string> changed_settings(const settings& before, const settings& after)
{
    std::vector<std::string> changed;
    for (const auto& row : setting_descriptors())
    {
        if (text_of(row, before) != text_of(row, after))
        {
            changed.push_back(std::string(row.section) + '.' + std::string(row.key));
        }
    }
    return changed;
}

} // namespace catkintally::runtime
