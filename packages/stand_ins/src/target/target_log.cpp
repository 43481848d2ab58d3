#include <catkintally/stand_ins/target/target_log.hpp>

namespace catkintally::stand_ins
{

void target_log::note_start(
    const std::string& target, const std::string& key, const std::string& request_id)
{
    ++targets_[target].started;
    if (!key.empty())
    {
        key_entry& entry = keys_[key];
        ++entry.started;
        entry.request_id = request_id;
        entry.target = target;
    }
}

void target_log::note_finish(const std::string& target, const std::string& key)
{
    ++targets_[target].finished;
    if (!key.empty())
    {
        ++keys_[key].finished;
    }
}

boost::json::object target_log::to_json() const
{
    boost::json::object targets;
    for (const auto& [name, c] : targets_)
    {
        targets[name] = {
            {"started", c.started},
            {"finished", c.finished},
            {"cancelled", c.cancelled},
            {"shed", c.shed},
            {"refused_cold", c.refused_cold},
            {"reset_full", c.reset_full},
            {"crashes", c.crashes},
            {"max_running", c.max_running},
            {"max_running_cold", c.max_running_cold},
            {"started_after_drain", c.started_after_drain},
            {"last_start_after_drain_ms", c.last_start_after_drain_ms}};
    }
    boost::json::object keys;
    for (const auto& [key, entry] : keys_)
    {
        keys[key] = {
            {"started", entry.started},
            {"finished", entry.finished},
            {"request_id", entry.request_id},
            {"target", entry.target}};
    }
    return {{"targets", std::move(targets)}, {"keys", std::move(keys)}};
}

void target_log::reset()
{
    targets_.clear();
    keys_.clear();
}

} // namespace catkintally::stand_ins
