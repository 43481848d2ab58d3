#include <catkintally/runtime/settings/settings_loader.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <sstream>

using namespace catkintally::runtime;
namespace leaf = boost::leaf;

namespace
{

const std::string minimal = "[instance]\nid = a1\nfailure_domain = east\n"
                            "[platform]\naddresses = 127.0.0.1:1, 127.0.0.1:2\n";

/// The error line for a settings text, or "" if it is accepted.
std::string refusal(const std::string& text)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            std::istringstream in(text);
            BOOST_LEAF_CHECK(read_settings(in, "x.ini"));
            return std::string();
        },
        [](const settings_error& error) { return error.message(); },
        [] { return std::string("error without a settings_error"); });
}

} // namespace

// Guards against a settings fault that is accepted silently or reported without its place.
TEST_CASE("a refused settings file names file, section and key")
{
    struct row
    {
        std::string added;
        std::string line;
    };
    const auto& sample = GENERATE(values<row>(
        {{"", ""},
         {"[admin]\naddress = [::1]:80\n", ""},
         {"[nowhere]\na = 1\n", "x.ini: [nowhere]: unknown section"},
         {"[stop]\nstop_limit_ms = 1\nstop_limit_ms = 2\n", "x.ini: line 8: duplicate key name"},
         {"[stop]\nlimit = 1\n", "x.ini: [stop] limit: unknown key"},
         {"[stop]\nstop_limit_ms = 1s\n",
          "x.ini: [stop] stop_limit_ms: bad value, expected a number of milliseconds from 0 to "
          "3600000"},
         {"[targets]\nconnect_time_ms = 0\n", "x.ini: [targets] connect_time_ms: bad value, "
                                              "expected a number of milliseconds from 1 to "
                                              "60000"},
         {"[admin]\naddress = localhost:80\n",
          "x.ini: [admin] address: bad value, expected an IP address with a port"},
         {"[admin]\naddress = 127.0.0.1\n",
          "x.ini: [admin] address: bad value, expected an IP address with a port"},
         {"[peers]\nseeds = 127.0.0.1:1, x\n",
          "x.ini: [peers] seeds: bad value, expected IP addresses with ports, separated by "
          "commas"},
         {"[admission]\nmode = random\n", "x.ini: [admission] mode: bad value, expected one of "
                                          "owner probing round_robin two_choices "
                                          "least_in_flight"}}));
    CHECK(refusal(minimal + sample.added) == sample.line);
}

// Guards against an address that is accepted although it cannot be used, or not as it is written.
TEST_CASE("an address is accepted only if it is complete")
{
    struct row
    {
        std::string address;
        bool accepted;
    };
    const auto& sample = GENERATE(values<row>(
        {{"127.0.0.1:80", true},
         {"127.0.0.1:65535", true},
         {"[::1]:80", true},
         {"::1:80", false},
         {"fe80::1", false},
         {"[::1]x:80", false},
         {"[::1]:", false},
         {"127.0.0.1", false},
         {"127.0.0.1:", false},
         {"127.0.0.1:0", false},
         {"127.0.0.1:65536", false},
         {"127.0.0.1:-1", false},
         {"127.0.0.1:+80", false},
         {"127.0.0.1: 80", false},
         {"127.0.0.1:80x", false},
         {"127.0.0.1:80.5", false},
         {"0127.0.0.1:80", false},
         {"[127.0.0.1]:80", false}}));
    INFO(sample.address);
    CHECK(
        refusal(minimal + "[admin]\naddress = " + sample.address + "\n").empty() ==
        sample.accepted);
    const std::string instance = "[instance]\nid = a1\nfailure_domain = east\n";
    CHECK(
        refusal(instance + "[platform]\naddresses = 127.0.0.1:1, " + sample.address + "\n")
            .empty() == sample.accepted);
}

// Guards against start-up with a required key left out.
TEST_CASE("a missing required key is refused")
{
    CHECK(
        refusal("[instance]\nid = a\n") ==
        "x.ini: [instance] failure_domain: missing key, expected text");
}

// Guards against values that end up in the wrong member, and against secrets in print-outs.
TEST_CASE("values reach their members and the printed file is read back equal")
{
    std::istringstream in(
        minimal + "[admission]\nmode = two_choices\n[peers]\nshared_key = k\n[targets]\n"
                  "connections = 7\n[overflow]\nmode = auto\nkilobyte_cost_ms = 0.25\n");
    const settings values = read_settings(in, "x.ini").value();
    CHECK(values.instance.id == "a1");
    CHECK(values.platform.addresses == std::vector<std::string>{"127.0.0.1:1", "127.0.0.1:2"});
    CHECK(values.admission.mode == admission_mode::two_choices);
    CHECK(values.targets.connections == 7);
    CHECK(values.overflow.mode == overflow_mode::auto_);
    CHECK(values.overflow.kilobyte_cost_ms == 0.25);
    CHECK(values.overflow.hop_cost_ms == 2);
    CHECK(values.platform.call_time_ms == 1000);

    std::ostringstream printed;
    print_settings(printed, values);
    CHECK(printed.str().find("shared_key = ********\n") != std::string::npos);
    std::istringstream again(printed.str());
    const settings read_again = read_settings(again, "y.ini").value();
    CHECK(read_again.admission.mode == admission_mode::two_choices);
    CHECK(read_again.overflow.mode == overflow_mode::auto_);
    CHECK(read_again.overflow.kilobyte_cost_ms == 0.25);
}

// Guards against a missing file that is taken for an empty one.
TEST_CASE("a missing file is refused")
{
    const auto line = leaf::try_handle_all(
        []() -> leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(load_settings("/nonexistent/x.ini"));
            return std::string();
        },
        [](const settings_error& error) { return error.message(); }, [] { return std::string(); });
    CHECK(line == "/nonexistent/x.ini: cannot be read");
}

// Guards against a figure of the machine that gets lost on its way from the hosting platform, and
// against one that replaces what the file says.
TEST_CASE("a key that the file leaves out is taken from the environment")
{
    struct row
    {
        const char* line;
        std::optional<std::string> variable;
        double link_mbps;
    };
    const auto each = GENERATE(values<row>(
        {{"", std::nullopt, 0}, {"", "200.0", 200}, {"link_mbps = 10\n", "200.0", 10}}));
    std::istringstream in(
        std::string("[instance]\n") + each.line +
        "id = a1\nfailure_domain = east\n[platform]\naddresses = 127.0.0.1:1\n");
    const auto environment = [&](const std::string& name)
    { return name == "CATKINTALLY_INSTANCE_LINK_MBPS" ? each.variable : std::nullopt; };
    const auto read = read_settings(in, "x.ini", environment);
    REQUIRE(read);
    CHECK(read->instance.link_mbps == each.link_mbps);
}
