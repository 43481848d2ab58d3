#pragma once

#include <catkintally/core/table/table_codec.hpp>

namespace catkintally::core
{

/// A valid table: two services with two targets each, and two failure domains.
inline table_snapshot sample_table()
{
    table_snapshot table;
    table.revision = 7;
    table.domains = {
        {"a", {.name = "a", .state = domain_state::in}},
        {"b", {.name = "b", .state = domain_state::out}}};
    for (const std::string name : {"orders", "stock"})
    {
        service_config config;
        config.service.name = name;
        config.service.path_prefix = '/' + name;
        const std::string network = name == "stock" ? "127.0.0.1:" : "127.0.0.2:";
        config.targets = {
            {.name = "t1", .address = network + "81", .failure_domain = "a"},
            {.name = "t2", .address = network + "82", .failure_domain = "b"}};
        table.services[name] = config;
    }
    return table;
}

/// Encodes a table as stored objects, each at version `version`.
inline std::map<std::string, store_object>
stored_objects(const table_snapshot& table, std::uint64_t version)
{
    std::map<std::string, store_object> objects;
    stored_domains domains;
    for (const auto& [name, domain] : table.domains)
    {
        domains.domains.push_back(domain);
    }
    objects[domains_key] = {.key = domains_key, .version = version, .value = encode(domains)};
    for (const auto& [name, config] : table.services)
    {
        const stored_service stored{.config = config, .change_id = "c", .unknown_columns = {}};
        const auto key = service_key(name);
        objects[key] = {.key = key, .version = version, .value = encode(stored)};
    }
    return objects;
}

} // namespace catkintally::core
