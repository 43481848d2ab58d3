#pragma once

#include <catkintally/core/table/table_codec.hpp>

#include <map>
#include <memory>

namespace catkintally::core
{

/// Objects of the table by key, as stored.
using table_objects = std::map<std::string, store_object>;

/// Version of the newest object.
[[nodiscard]] std::uint64_t newest_version(const table_objects& objects);

/// Result of building one revision.
struct table_build_result
{
    /// Null if there are errors.
    std::shared_ptr<const table_snapshot> table;
    std::vector<table_error> errors;
};

/// Makes checked snapshots from stored objects. It remembers what it has decoded, so that a change
/// of one object does not cost the decoding of the whole table.
class table_builder
{
public:
    /// Decodes and checks `objects` as revision `revision`.
    [[nodiscard]] table_build_result build(std::uint64_t revision, const table_objects& objects);

private:
    struct decoded_object
    {
        store_object source;
        stored_service service;
        stored_domains domains;
        std::vector<table_error> errors;
    };

    static decoded_object decode(const store_object& object);

    std::map<std::string, decoded_object> decoded_;
};

} // namespace catkintally::core
