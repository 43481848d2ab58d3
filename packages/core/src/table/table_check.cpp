#include <catkintally/core/table/table_check.hpp>

#include <catkintally/core/table/column.hpp>

#include <set>
#include <unordered_map>

namespace catkintally::core
{

namespace
{

template <class Row>
void check_columns(const Row& row, const std::string& row_name, std::vector<table_error>& findings)
{
    for (const auto& each : columns_of<Row>())
    {
        if (auto wrong = check_column(row, each))
        {
            findings.push_back(
                {.kind = wrong->kind,
                 .row = row_name,
                 .column = std::string(each.name),
                 .reason = std::move(wrong->reason)});
        }
    }
}

table_error duplicate(const std::string& row_name)
{
    return {
        .kind = table_error_kind::duplicate_name,
        .row = row_name,
        .column = "name",
        .reason = "the name is used twice"};
}

table_error duplicate_address(const std::string& row_name, const std::string& other_row)
{
    return {
        .kind = table_error_kind::duplicate_address,
        .row = row_name,
        .column = "address",
        .reason = other_row + " has the same address"};
}

/// Prefixes that differ only in a trailing '/' select the same requests.
std::string route_of(const service_row& service)
{
    std::string prefix = service.path_prefix;
    if (prefix.ends_with('/'))
    {
        prefix.pop_back();
    }
    return service.host + ' ' + prefix;
}

} // namespace

std::string service_row_name(const std::string& service)
{
    return "service " + service;
}

std::string target_row_name(const std::string& service, const std::string& target)
{
    return "target " + service + '/' + target;
}

std::string domain_row_name(const std::string& domain)
{
    return "domain " + domain;
}

std::vector<table_error> check_object_size(const std::string& row_name, std::size_t object_bytes)
{
    if (object_bytes <= max_object_bytes)
    {
        return {};
    }
    return {
        {.kind = table_error_kind::too_large,
         .row = row_name,
         .reason = "its stored object has " + std::to_string(object_bytes) + " bytes, at most " +
                   std::to_string(max_object_bytes) + " are possible"}};
}

std::vector<table_error> check_service(const service_config& config)
{
    std::vector<table_error> findings;
    const auto& service = config.service;
    check_columns(service, service_row_name(service.name), findings);
    // A record that expires while its request still runs would let the request run again.
    if (!service.idempotency_key_header.empty() && service.key_retention_ms < service.deadline_ms)
    {
        findings.push_back(
            {.kind = table_error_kind::out_of_range,
             .row = service_row_name(service.name),
             .column = "key_retention_ms",
             .reason = std::to_string(service.key_retention_ms) +
                       " must be at least deadline_ms, " + std::to_string(service.deadline_ms)});
    }
    std::set<std::string> names;
    std::unordered_map<std::string, std::string> addresses;
    for (const auto& target : config.targets)
    {
        const auto row_name = target_row_name(service.name, target.name);
        check_columns(target, row_name, findings);
        if (!names.insert(target.name).second)
        {
            findings.push_back(duplicate(row_name));
        }
        const auto [found, added] = addresses.emplace(target.address, row_name);
        if (!added)
        {
            findings.push_back(duplicate_address(row_name, found->second));
        }
    }
    return findings;
}

std::vector<table_error> check_domains(const std::vector<domain_row>& domains)
{
    std::vector<table_error> findings;
    std::set<std::string> names;
    for (const auto& domain : domains)
    {
        const auto row_name = domain_row_name(domain.name);
        check_columns(domain, row_name, findings);
        if (!names.insert(domain.name).second)
        {
            findings.push_back(duplicate(row_name));
        }
    }
    return findings;
}

std::vector<table_error> check_relations(const table_snapshot& table)
{
    std::vector<table_error> findings;
    std::unordered_map<std::string, std::string> routes;
    std::unordered_map<std::string, std::pair<const service_config*, std::string>> addresses;
    for (const auto& [name, config] : table.services)
    {
        const auto [other, added] = routes.emplace(route_of(config.service), name);
        if (!added)
        {
            findings.push_back(
                {.kind = table_error_kind::overlapping_route,
                 .row = service_row_name(name),
                 .column = "path_prefix",
                 .reason = service_row_name(other->second) + " has the same host and path prefix"});
        }
        for (const auto& target : config.targets)
        {
            if (!table.domains.contains(target.failure_domain))
            {
                findings.push_back(
                    {.kind = table_error_kind::unknown_failure_domain,
                     .row = target_row_name(name, target.name),
                     .column = "failure_domain",
                     .reason = '\'' + target.failure_domain + "' is not a listed failure domain"});
            }
            const auto [first, is_first] =
                addresses.emplace(target.address, std::pair(&config, target.name));
            // Duplicates within one service are check_service()'s finding.
            if (!is_first && first->second.first != &config)
            {
                findings.push_back(duplicate_address(
                    target_row_name(name, target.name),
                    target_row_name(first->second.first->service.name, first->second.second)));
            }
        }
    }
    return findings;
}

std::vector<table_error> check_table(const table_snapshot& table)
{
    std::vector<table_error> findings;
    const auto append = [&](std::vector<table_error> more)
    {
        findings.insert(
            findings.end(), std::make_move_iterator(more.begin()),
            std::make_move_iterator(more.end()));
    };
    std::vector<domain_row> domains;
    for (const auto& [name, domain] : table.domains)
    {
        domains.push_back(domain);
    }
    append(check_domains(domains));
    for (const auto& [name, config] : table.services)
    {
        append(check_service(config));
    }
    append(check_relations(table));
    return findings;
}

} // namespace catkintally::core
