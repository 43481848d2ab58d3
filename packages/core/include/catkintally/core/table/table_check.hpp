#pragma once

#include <catkintally/core/table/table_error.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <vector>

namespace catkintally::core
{

/// Largest stored object in bytes. The platform's limit is 1 MB.
constexpr std::size_t max_object_bytes = 1'000'000;

/// How a row is named in messages, for example "target paper-stock/paper-1".
[[nodiscard]] std::string service_row_name(const std::string& service);
[[nodiscard]] std::string target_row_name(const std::string& service, const std::string& target);
[[nodiscard]] std::string domain_row_name(const std::string& domain);

/// Finding if a row's stored object would be larger than the store accepts.
[[nodiscard]] std::vector<table_error>
check_object_size(const std::string& row_name, std::size_t object_bytes);

/// Findings within one service and its targets: columns, duplicate names and addresses.
[[nodiscard]] std::vector<table_error> check_service(const service_config& config);

/// Findings within the list of failure domains.
[[nodiscard]] std::vector<table_error> check_domains(const std::vector<domain_row>& domains);

/// Findings between objects that are each correct: two services with the same host and path
/// prefix, an address that stands for targets of two services (its slots would be counted twice),
/// and targets in a failure domain that is not listed.
[[nodiscard]] std::vector<table_error> check_relations(const table_snapshot& table);

/// All findings in a table, in the order of its rows.
[[nodiscard]] std::vector<table_error> check_table(const table_snapshot& table);

} // namespace catkintally::core
