#pragma once

#include <catkintally/core/store/object_store.hpp>
#include <catkintally/core/table/table_error.hpp>
#include <catkintally/core/table/table_snapshot.hpp>

#include <boost/leaf.hpp>

#include <string>
#include <vector>

namespace catkintally::core
{

/// Prefix of all objects of the table, and keys below it.
constexpr const char* table_prefix = "table/";
constexpr const char* domains_key = "table/domains";
[[nodiscard]] std::string service_key(const std::string& service);

/// Stored form of a service with its targets. Removal is stored too: if the object were deleted,
/// the newest remaining object could have an older version, and the table's revision would go back.
struct stored_service
{
    service_config config;
    /// Chosen by the writer. Tells whether a write whose answer was lost took effect.
    std::string change_id;
    /// True if operators have removed the service; then only its name is set.
    bool removed = false;
    /// Columns that this version of the program does not know. Readers ignore them, writers must
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

/// JSON text of an object.
[[nodiscard]] std::string encode(const stored_service& stored);
[[nodiscard]] std::string encode(const stored_domains& stored);

/// Reads a stored service. Columns that are absent have their defaults. Fails with a table_error.
[[nodiscard]] boost::leaf::result<stored_service> decode_service(const store_object& object);

/// Reads the stored list of failure domains. Fails with a table_error.
[[nodiscard]] boost::leaf::result<stored_domains> decode_domains(const store_object& object);

/// Change id of a stored object, empty if it has none.
[[nodiscard]] std::string change_id_in(const store_object& object);

} // namespace catkintally::core
