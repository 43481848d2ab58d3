#pragma once

#include <catkintally/entry/http/chunk_scanner.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace catkintally::entry
{

/// What becomes of a complete head.
enum class head_verdict : std::uint8_t
{
    /// The reader gets it and everything after it.
    pass,
    /// As pass; the body after it is chunked and is followed to its end.
    pass_chunked,
    /// It is dropped and the next head is awaited.
    drop,
    /// It is dropped and so is everything after it.
    reject
};

/// Hooks and limits of a head gate.
struct head_gate_options
{
    /// Largest head.
    std::size_t max_bytes = 65'536;
    /// Heads that may be dropped before one passes.
    std::size_t max_dropped = 16;
    /// Empty lines before a head are ignored.
    bool skip_blank_lines = false;
    /// Judges a complete head. Must not destroy the gate.
    std::function<head_verdict(std::string_view head)> check;
    /// A head exceeded a limit. Must not destroy the gate.
    std::function<void()> too_large;
    /// Largest chunked body, and whether fields may follow it.
    std::uint64_t max_chunked_bytes = 0;
    bool trailers = false;
    /// A chunked body is malformed or too large. Must not destroy the gate.
    std::function<void(chunk_state)> bad_body;
};

/// Holds back the bytes that arrive in an input buffer until a whole head is there and has been
/// checked, so that evhttp never sees a head that it would read wrongly. Among these are interim
/// responses: evhttp's client takes every 1xx but 100 as final and stalls when a 100 and the final
/// response arrive in one segment. A chunked body is checked as it passes.
class head_gate
{
public:
    /// `input` must outlive this object.
    head_gate(evbuffer* input, head_gate_options options);
    ~head_gate();
    head_gate(const head_gate&) = delete;
    head_gate& operator=(const head_gate&) = delete;

    /// Starts to hold back bytes until the next head has passed, beginning with bytes that were
    /// taken back.
    void await_head();

    /// Takes bytes that the reader has not consumed out of the buffer, for the next await_head().
    void take_back();

    /// Drops everything from now on.
    void discard();

    /// True while a head is awaited.
    [[nodiscard]] bool awaiting() const { return state_ == state::awaiting; }

    /// True while a part of a head is held.
    [[nodiscard]] bool holds_bytes() const { return !held_.empty(); }

private:
    enum class state : std::uint8_t
    {
        open,
        awaiting,
        discarding
    };

    static void on_change(evbuffer* buffer, const evbuffer_cb_info* info, void* context);
    void take_input();
    void judge();
    void release();
    void follow(std::size_t added);

    evbuffer* input_;
    head_gate_options options_;
    evbuffer_cb_entry* entry_;
    state state_ = state::open;
    bool busy_ = false;
    std::size_t dropped_ = 0;
    std::string held_;
    std::optional<chunk_scanner> chunks_;
};

} // namespace catkintally::entry
