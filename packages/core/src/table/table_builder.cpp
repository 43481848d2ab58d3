#include <catkintally/core/table/table_builder.hpp>

#include <catkintally/core/table/table_check.hpp>

#include <algorithm>

namespace catkintally::core
{

namespace leaf = boost::leaf;

std::uint64_t newest_version(const table_objects& objects)
{
    std::uint64_t newest = 0;
    for (const auto& [key, object] : objects)
    {
        newest = std::max(newest, object.version);
    }
    return newest;
}

table_builder::decoded_object table_builder::decode(const store_object& object)
{
    decoded_object decoded;
    decoded.source = object;
    decoded.errors = check_object_size("object " + object.key, object.value.size());
    if (!decoded.errors.empty())
    {
        return decoded;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            if (object.key == domains_key)
            {
                BOOST_LEAF_ASSIGN(decoded.domains, decode_domains(object));
                decoded.errors = check_domains(decoded.domains.domains);
                return {};
            }
            BOOST_LEAF_ASSIGN(decoded.service, decode_service(object));
            if (!decoded.service.removed)
            {
                decoded.errors = check_service(decoded.service.config);
            }
            return {};
        },
        [&](const table_error& error) { decoded.errors.push_back(error); },
        [&]
        {
            decoded.errors.push_back(
                {.kind = table_error_kind::malformed,
                 .row = "object " + object.key,
                 .reason = "cannot be read"});
        });
    return decoded;
}

table_build_result table_builder::build(std::uint64_t revision, const table_objects& objects)
{
    auto table = std::make_shared<table_snapshot>();
    table->revision = revision;
    table_build_result result;
    std::erase_if(decoded_, [&](const auto& entry) { return !objects.contains(entry.first); });
    for (const auto& [key, object] : objects)
    {
        auto& decoded = decoded_[key];
        if (decoded.source.version != object.version || decoded.source.value != object.value)
        {
            decoded = decode(object);
        }
        result.errors.insert(result.errors.end(), decoded.errors.begin(), decoded.errors.end());
        for (const auto& domain : decoded.domains.domains)
        {
            table->domains.emplace(domain.name, domain);
        }
        if (key != domains_key && !decoded.service.removed)
        {
            table->services.emplace(decoded.service.config.service.name, decoded.service.config);
        }
    }
    if (result.errors.empty())
    {
        result.errors = check_relations(*table);
    }
    if (result.errors.empty())
    {
        result.table = std::move(table);
    }
    return result;
}

} // namespace catkintally::core
