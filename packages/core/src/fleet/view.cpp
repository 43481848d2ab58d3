#include <catkintally/core/fleet/view.hpp>

#include <algorithm>
#include <utility>

namespace catkintally::core
{

const member* view::find(const member_id& id) const
{
    const auto found = std::find_if(
        members.begin(), members.end(), [&](const member& entry) { return entry.id == id; });
    return found == members.end() ? nullptr : &*found;
}

const member* view::find_instance(std::string_view instance) const
{
    const auto found = std::find_if(
        members.begin(), members.end(),
        [&](const member& entry) { return entry.id.instance == instance; });
    return found == members.end() ? nullptr : &*found;
}

const std::vector<member>* view::members_of(std::uint64_t wanted) const
{
    if (wanted == epoch)
    {
        return &members;
    }
    const auto found = std::find_if(
        history.begin(), history.end(),
        [&](const past_epoch& entry) { return entry.epoch == wanted; });
    return found == history.end() ? nullptr : &found->members;
}

view view::successor(std::vector<member> next_members) const
{
    view next;
    next.epoch = epoch + 1;
    next.members = std::move(next_members);
    std::sort(
        next.members.begin(), next.members.end(),
        [](const member& left, const member& right) { return left.id < right.id; });
    if (epoch > 0)
    {
        next.history.push_back({.epoch = epoch, .members = members});
    }
    next.history.insert(next.history.end(), history.begin(), history.end());
    if (next.history.size() > view_history_epochs)
    {
        next.history.resize(view_history_epochs);
    }
    return next;
}

} // namespace catkintally::core
