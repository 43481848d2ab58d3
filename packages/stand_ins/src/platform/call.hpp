#pragma once

#include <catkintally/stand_ins/platform/platform_stand_in.hpp>

#include <optional>
#include <string>
#include <utility>

namespace catkintally::stand_ins
{

/// Calls of the object API.
enum class call_kind : std::uint8_t
{
    none,
    get,
    list,
    create,
    put,
    remove,
    watch
};

inline bool is_write(call_kind kind)
{
    return kind == call_kind::create || kind == call_kind::put || kind == call_kind::remove;
}

/// One call that has not been answered yet.
struct platform_stand_in::call
{
    /// Null when the caller has closed the connection.
    evhttp_request* request = nullptr;
    call_kind kind = call_kind::none;
    /// Kind and name of an object; for lists, watches and creations "kind/".
    std::string key;
    /// Name after which a list continues.
    std::string after;
    std::string body;
    std::optional<std::uint64_t> if_version;
    std::uint64_t from = 0;
    core::duration watch_limit{};
    /// True while a watch waits for events.
    bool watching = false;
    /// True if the connection is closed instead of answered.
    bool lose = false;
    bool closing = false;
    int status = 0;
    std::string answer;
    core::timer_id timer = 0;

    void set_answer(int new_status, std::string body_text)
    {
        status = new_status;
        answer = std::move(body_text);
    }
};

} // namespace catkintally::stand_ins
