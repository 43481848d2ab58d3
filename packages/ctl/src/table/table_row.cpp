#include <catkintally/ctl/table/table_row.hpp>

#include <catkintally/core/table/column.hpp>
#include <catkintally/core/table/table_check.hpp>

namespace catkintally::ctl
{

namespace
{

template <class Row>
std::vector<std::string> names_of()
{
    std::vector<std::string> names;
    for (const auto& each : core::columns_of<Row>())
    {
        names.emplace_back(each.name);
    }
    return names;
}

} // namespace

std::string_view to_string(row_kind kind)
{
    switch (kind)
    {
    case row_kind::domain:
        return core::row_traits<core::domain_row>::kind;
    case row_kind::service:
        return core::row_traits<core::service_row>::kind;
    default:
        return core::row_traits<core::target_row>::kind;
    }
}

const std::vector<std::string>& column_names(row_kind kind)
{
    static const auto domain = names_of<core::domain_row>();
    static const auto service = names_of<core::service_row>();
    static const auto target = names_of<core::target_row>();
    return kind == row_kind::domain ? domain : kind == row_kind::service ? service : target;
}

std::string to_string(const row_id& id)
{
    switch (id.kind)
    {
    case row_kind::domain:
        return core::domain_row_name(id.name);
    case row_kind::service:
        return core::service_row_name(id.name);
    default:
        return core::target_row_name(id.service, id.name);
    }
}

} // namespace catkintally::ctl
