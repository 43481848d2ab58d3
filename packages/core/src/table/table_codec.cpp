#include <catkintally/core/table/table_codec.hpp>

#include <catkintally/core/table/column.hpp>
#include <catkintally/core/table/table_check.hpp>

#include <boost/json.hpp>

namespace catkintally::core
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr std::string_view service_prefix = "table/service/";

leaf::error_id malformed(const store_object& object, const std::string& reason)
{
    return leaf::new_error(table_error{
        .kind = table_error_kind::malformed, .row = "object " + object.key, .reason = reason});
}

template <class Row>
json::object encode_row(const Row& row)
{
    json::object encoded;
    for (const auto& each : columns_of<Row>())
    {
        encoded[each.name] = column_to_json(row, each);
    }
    return encoded;
}

/// Reads the columns of one row; `row_name` makes its name in messages from its name column.
template <class Row, class RowName>
leaf::result<Row>
decode_row(const json::value& value, RowName row_name, std::vector<std::string>& unknown_columns)
{
    Row row;
    const auto* encoded = value.if_object();
    const auto* name = encoded == nullptr ? nullptr : encoded->if_contains("name");
    if (name == nullptr || !name->is_string())
    {
        return leaf::new_error(table_error{
            .kind = table_error_kind::missing_column,
            .row = row_name("?"),
            .column = "name",
            .reason = "the row has no name"});
    }
    for (const auto& [column_name, column_value] : *encoded)
    {
        const auto* found = find_column<Row>(column_name);
        if (found == nullptr)
        {
            unknown_columns.emplace_back(column_name);
        }
        else if (auto wrong = set_column_from_json(row, *found, column_value))
        {
            return leaf::new_error(table_error{
                .kind = wrong->kind,
                .row = row_name(std::string(name->get_string())),
                .column = std::string(column_name),
                .reason = std::move(wrong->reason)});
        }
    }
    return row;
}

leaf::result<json::object> parse(const store_object& object)
{
    boost::system::error_code error;
    auto parsed = json::parse(object.value, error);
    if (error || !parsed.is_object())
    {
        return malformed(object, "the value is not a JSON object");
    }
    return std::move(parsed.get_object());
}

std::string change_id_of(const json::object& parsed)
{
    const auto* found = parsed.if_contains("change_id");
    return found != nullptr && found->is_string() ? std::string(found->get_string()) : "";
}

leaf::result<const json::array*>
array_of(const store_object& object, const json::object& parsed, const char* name)
{
    const auto* found = parsed.if_contains(name);
    if (found == nullptr || !found->is_array())
    {
        return malformed(object, std::string("has no array '") + name + "'");
    }
    return &found->get_array();
}

} // namespace

std::string service_key(const std::string& service)
{
    return std::string(service_prefix) + service;
}

std::string encode(const stored_service& stored)
{
    json::object object{{"change_id", stored.change_id}};
    if (stored.removed)
    {
        object["removed"] = true;
        return json::serialize(object);
    }
    object["service"] = encode_row(stored.config.service);
    auto& targets = object["targets"].emplace_array();
    for (const auto& target : stored.config.targets)
    {
        targets.push_back(encode_row(target));
    }
    return json::serialize(object);
}

std::string encode(const stored_domains& stored)
{
    json::object object{{"change_id", stored.change_id}};
    auto& domains = object["domains"].emplace_array();
    for (const auto& domain : stored.domains)
    {
        domains.push_back(encode_row(domain));
    }
    return json::serialize(object);
}

leaf::result<stored_service> decode_service(const store_object& object)
{
    BOOST_LEAF_AUTO(parsed, parse(object));
    if (!object.key.starts_with(service_prefix))
    {
        return malformed(object, "is not part of the table");
    }
    stored_service stored;
    stored.change_id = change_id_of(parsed);
    stored.config.version = object.version;
    const auto* removed = parsed.if_contains("removed");
    if (removed != nullptr && removed->is_bool() && removed->get_bool())
    {
        stored.removed = true;
        stored.config.service.name = object.key.substr(service_prefix.size());
        return stored;
    }
    BOOST_LEAF_ASSIGN(
        stored.config.service,
        decode_row<service_row>(parsed["service"], service_row_name, stored.unknown_columns));
    const auto& name = stored.config.service.name;
    if (service_key(name) != object.key)
    {
        return malformed(object, "holds service '" + name + "'");
    }
    const auto row_name = [&](const std::string& target) { return target_row_name(name, target); };
    BOOST_LEAF_AUTO(targets, array_of(object, parsed, "targets"));
    for (const auto& each : *targets)
    {
        BOOST_LEAF_AUTO(target, decode_row<target_row>(each, row_name, stored.unknown_columns));
        stored.config.targets.push_back(std::move(target));
    }
    return stored;
}

std::string change_id_in(const store_object& object)
{
    boost::system::error_code error;
    const auto parsed = json::parse(object.value, error);
    return parsed.is_object() ? change_id_of(parsed.get_object()) : "";
}

leaf::result<stored_domains> decode_domains(const store_object& object)
{
    BOOST_LEAF_AUTO(parsed, parse(object));
    stored_domains stored;
    stored.change_id = change_id_of(parsed);
    BOOST_LEAF_AUTO(domains, array_of(object, parsed, "domains"));
    for (const auto& each : *domains)
    {
        BOOST_LEAF_AUTO(
            domain, decode_row<domain_row>(each, domain_row_name, stored.unknown_columns));
        stored.domains.push_back(std::move(domain));
    }
    return stored;
}

} // namespace catkintally::core
