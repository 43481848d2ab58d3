#pragma once

#include <catkintally/core/table/table_error.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <vector>

namespace catkintally::core
{

/// Size limit of a stored object in bytes. The platform's store accepts up to 1 MB.
constexpr std::size_t max_object_bytes = 1'000'000;

/// Row names for messages, for example "target paper-stock/paper-1".
[[nodiscard]] std::string service_row_name(const std::string& service);
[[nodiscard]] std::string target_row_name(const std::string& service, const std::string& target);
[[nodiscard]] std::string domain_row_name(const std::string& domain);

/// Returns an error if a row's stored object would be larger than max_object_bytes.
[[nodiscard]] std::vector<table_error>
check_object_size(const std::string& row_name, std::size_t object_bytes);

/// Validates one service and its targets: column values, duplicate names and duplicate addresses.
[[nodiscard]] std::vector<table_error> check_service(const service_config& config);

/// Validates the list of failure domains.
[[nodiscard]] std::vector<table_error> check_domains(const std::vector<domain_row>& domains);

/// Validates relations between objects: no two services with the same host and path prefix, no
/// address shared by targets of two services (its slots would be counted twice), and no target in a
/// failure domain that is not listed. The objects themselves are assumed to be valid.
[[nodiscard]] std::vector<table_error> check_relations(const table_snapshot& table);

/// Runs all checks on a table. Errors are grouped: domains, then each service, then relations.
[[nodiscard]] std::vector<table_error> check_table(const table_snapshot& table);

} // namespace catkintally::core
