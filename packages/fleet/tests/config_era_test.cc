/**
 * @file config_era_test.cc
 * Configurations of a store that comes back from an earlier copy.
 */
#include <gtest/gtest.h>

#include "fleet_fixture.h"

namespace boragewharf::fleet {
namespace {

class ConfigEraTest : public FleetTest {
 protected:
  void Read(uint64_t version, uint64_t era, uint64_t revision) {
    this->Apply(ConfigRead{revision, Config(version),
                           "version " + std::to_string(version), era});
  }
};

// Guards against a configuration that comes back older because the store does.
TEST_F(ConfigEraTest, VersionNeverGoesBack) {
  this->Read(5, 1, 500);
  this->Read(4, 2, 300);
  EXPECT_EQ(this->state.config->version, 5U);
  EXPECT_EQ(this->Find<PublishConfig>(), nullptr);
  this->Read(4, 3, 900);
  EXPECT_EQ(this->state.config->version, 5U) << "several returns in a row";
}

// Guards against a new configuration that is not taken over because its
// revision is lower than that of one from before the return.
TEST_F(ConfigEraTest, NewerVersionOfLaterEraReplacesHigherRevision) {
  this->Read(5, 1, 500);
  this->Read(6, 2, 300);
  ASSERT_NE(this->Find<PublishConfig>(), nullptr);
  EXPECT_EQ(this->state.config->version, 6U);
  EXPECT_EQ(this->state.config_era, 2U);
  this->Read(6, 2, 310);
  EXPECT_EQ(this->Find<PublishConfig>(), nullptr) << "the same text again";
  EXPECT_EQ(this->state.config_revision, 310U);
  this->Read(6, 1, 900);
  EXPECT_EQ(this->state.config_revision, 310U) << "of an earlier era";
}

// Guards against the same text that is published again for each return.
TEST_F(ConfigEraTest, SameVersionOfLaterEraReplacesQuietly) {
  this->Read(5, 1, 500);
  this->Read(5, 2, 300);
  EXPECT_EQ(this->Find<PublishConfig>(), nullptr);
  EXPECT_EQ(this->state.config_era, 2U);
  this->Apply(ConfigRead{301, Config(5), "other text", 2});
  EXPECT_NE(this->Find<PublishConfig>(), nullptr);
}

}  // namespace
}  // namespace boragewharf::fleet
