#pragma once

#include <catkintally/entry/http/shared_body.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace catkintally::entry
{

/// Memory for the bodies of requests and answers, shared by all connections of an instance. Large
/// bodies can't take the last part of it, so that small ones still get through beside them.
class body_budget
{
public:
    /// `bytes` is for all bodies together.
    explicit body_budget(std::uint64_t bytes)
        : bytes_(bytes)
    {
    }

    /// Reserves `more` bytes for a body that has reserved `held` already. False if there is no room
    /// for it, now or ever; nothing is reserved then.
    [[nodiscard]] bool reserve(std::uint64_t held, std::uint64_t more);

    /// Returns bytes that were reserved.
    void release(std::uint64_t bytes);

    /// Largest single body.
    [[nodiscard]] std::uint64_t largest_body() const;

    /// Bytes reserved now.
    [[nodiscard]] std::uint64_t used() const { return used_; }

    /// Reservations that failed since the start.
    [[nodiscard]] std::uint64_t refused() const { return refused_; }

private:
    const std::uint64_t bytes_;
    std::uint64_t used_ = 0;
    std::uint64_t refused_ = 0;
};

/// What one body has reserved. The destructor returns it.
class body_reservation
{
public:
    /// Without a budget every reservation succeeds.
    explicit body_reservation(std::shared_ptr<body_budget> budget = nullptr)
        : budget_(std::move(budget))
    {
    }
    body_reservation(body_reservation&& other) noexcept
        : budget_(std::move(other.budget_))
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    body_reservation& operator=(body_reservation&& other) noexcept
    {
        std::swap(budget_, other.budget_);
        std::swap(bytes_, other.bytes_);
        return *this;
    }
    ~body_reservation();

    /// Makes sure that `total` bytes are reserved; false if there is no room.
    [[nodiscard]] bool grow_to(std::uint64_t total);

private:
    std::shared_ptr<body_budget> budget_;
    std::uint64_t bytes_ = 0;
};

/// A body that keeps its reservation as long as anyone shares it.
[[nodiscard]] shared_body hold_body(std::string text, body_reservation reservation);

} // namespace catkintally::entry
