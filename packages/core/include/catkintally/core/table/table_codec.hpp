#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/table/table_error.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace catkintally::core
{

/// Key prefix of all objects of the table, and the keys below it.
constexpr const char* table_prefix = "table/";
constexpr const char* domains_key = "table/domains";
[[nodiscard]] std::string service_key(const std::string& service);

/// Stored form of a service with its targets. A removed service is kept as a tombstone: if its
/// object were deleted, the newest remaining object could have an older version, and the table's
/// revision would decrease.
struct stored_service
{
    service_config config;
    /// Chosen by the writer. Shows whether a write took effect if its response was lost.
    std::string change_id;
    /// True if operators have removed the service; then only its name is set.
    bool removed = false;
    /// Columns that this version of the program does not know. Readers ignore them; writers must
    /// not drop them.
    std::vector<std::string> unknown_columns;
};

/// Stored form of the list of failure domains.
struct stored_domains
{
    std::vector<domain_row> domains;
    std::string change_id;
    std::vector<std::string> unknown_columns;
};

/// Encodes an object as JSON text.
[[nodiscard]] std::string encode(const stored_service& stored);
[[nodiscard]] std::string encode(const stored_domains& stored);

/// Decodes a stored service. Missing columns get their defaults. Fails with a table_error.
[[nodiscard]] boost::leaf::result<stored_service> decode_service(const store_object& object);

/// Decodes the stored list of failure domains. Fails with a table_error.
[[nodiscard]] boost::leaf::result<stored_domains> decode_domains(const store_object& object);

/// Returns the change id of a stored object, or an empty string if it has none.
[[nodiscard]] std::string change_id_in(const store_object& object);

} // namespace catkintally::core
