#include "forwarding/route_index.hpp"
#include "forwarding/weighted_round_robin.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace samphire;

TEST_GROUP(route_index)
{
    route_rule rule(std::string const& host, std::string const& prefix) const
    {
        return {
            .name_ = route_name(host + prefix),
            .host_ = host,
            .path_prefix_ = prefix,
            .shares_ = {{service_name("s"), 1}}};
    }

    route_index const routes{
        std::make_shared<forwarding_policy const>(forwarding_policy{
            .version_ = 1,
            .routes_ = {
                rule("a", "/x/"), rule("a", "/x/y/"), rule("b", "/")}})};

    std::string find(std::string_view host, std::string_view path) const
    {
        route_rule const* const found = routes.find(host, path);
        return found ? found->name_.value() : "";
    }
};

TEST(route_index, longest_prefix_of_the_host_is_chosen)
{
    STRCMP_EQUAL("a/x/y/", find("a", "/x/y/z").c_str());
    STRCMP_EQUAL("a/x/", find("a", "/x/yy").c_str());
}

TEST(route_index, prefix_ends_at_a_slash)
{
    STRCMP_EQUAL("", find("a", "/x").c_str());
    STRCMP_EQUAL("a/x/", find("a", "/x/y").c_str());
}

TEST(route_index, query_and_port_are_ignored)
{
    STRCMP_EQUAL("a/x/", find("A:80", "/x/?q=/x/y/").c_str());
}

TEST(route_index, unknown_host_has_no_route)
{
    STRCMP_EQUAL("", find("c", "/x/").c_str());
}

TEST(route_index, split_keeps_its_weights_over_short_spans)
{
    weighted_round_robin round_robin;
    route_rule split = rule("a", "/");
    split.shares_ = {{service_name("p"), 90}, {service_name("q"), 10}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 20; ++i)
        ++counts[round_robin.next(split).value()];
    LONGS_EQUAL(18, counts["p"]);
    LONGS_EQUAL(2, counts["q"]);
}
