#pragma once

#include <catkintally/entry/http/shared_body.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace catkintally::entry
{

/// Memory budget for request and response bodies, shared by all connections of an instance. The
/// last part of it is closed to large bodies, so that small ones are still accepted beside them.
class body_budget
{
public:
    /// `capacity_bytes` is for all bodies together.
    explicit body_budget(std::uint64_t capacity_bytes)
        : capacity_bytes_(capacity_bytes)
    {
    }

    /// Reserves `additional` bytes for a body that already has `already_reserved` bytes. False if
    /// they don't fit now or exceed the largest body; nothing is reserved then.
    [[nodiscard]] bool reserve(std::uint64_t already_reserved, std::uint64_t additional);

    /// Releases reserved bytes.
    void release(std::uint64_t bytes);

    /// Size limit of a single body, in bytes.
    [[nodiscard]] std::uint64_t largest_body() const;

    /// Bytes currently reserved.
    [[nodiscard]] std::uint64_t reserved_bytes() const { return reserved_bytes_; }

    /// Reservations that failed since the start.
    [[nodiscard]] std::uint64_t refused() const { return failed_reservations_; }

private:
    const std::uint64_t capacity_bytes_;
    std::uint64_t reserved_bytes_ = 0;
    std::uint64_t failed_reservations_ = 0;
};

/// Reservation of one body in a body_budget. The destructor releases it.
class body_reservation
{
public:
    /// With a null budget every reservation succeeds.
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

    /// Grows the reservation to at least `total` bytes; false, and unchanged, if the budget has no
    /// room.
    [[nodiscard]] bool grow_to(std::uint64_t total);

private:
    std::shared_ptr<body_budget> budget_;
    std::uint64_t bytes_ = 0;
};

/// Makes a shared body that keeps its reservation until the last owner releases it.
[[nodiscard]] shared_body make_shared_body(std::string text, body_reservation reservation);

} // namespace catkintally::entry
