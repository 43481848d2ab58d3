#pragma once

#include <catkintally/core/table/table_codec.hpp>

#include <map>
#include <memory>

namespace catkintally::core
{

/// Stored objects of the table by key.
using table_objects = std::map<std::string, store_object>;

/// Returns the highest version among the objects, or 0 if there are none.
[[nodiscard]] std::uint64_t newest_version(const table_objects& objects);

/// Result of building one revision.
struct table_build_result
{
    /// nullptr if there are errors.
    std::shared_ptr<const table_snapshot> table;
    std::vector<table_error> errors;
};

/// Builds validated snapshots from stored objects. Decoded objects are cached, so a change to one
/// object does not require decoding the whole table again.
class table_builder
{
public:
    /// Decodes and validates `objects` as revision `revision`.
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
