// Tracks the accelerator memory of one engine, including memory that
// unconfirmed orders may still allocate.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

/// State of a model on one engine.
enum class ModelLoadState : std::uint8_t {
  kLoading,  ///< A load was ordered; the engine may not have received it.
  kLoaded,
  kUnloading,  ///< An unload was ordered and is not confirmed yet.
};

/// A model in the engine's list of its models.
struct ReportedModel {
  MebiBytes memory;
  bool ready = false;  ///< Whether the model serves requests.
};

/// Reserves memory for models that are loaded, loading, unloading without
/// confirmation, or ordered with an unknown outcome. A load may be ordered only
/// if the total, including the new model, fits the capacity.
class MemoryLedger {
 public:
  /// @param order_lifetime  time after which an order whose reply was lost has
  ///   either taken effect or never will.
  MemoryLedger(const Clock& clock, MebiBytes capacity,
               Duration order_lifetime) noexcept
      : m_clock(clock),
        m_capacity(capacity),
        m_order_lifetime(order_lifetime) {}

  /// Reserves memory for a load order that is about to be sent. Repeating an
  /// order reserves nothing more.
  /// @returns false if the model does not fit or is being unloaded; nothing is
  ///   reserved then.
  [[nodiscard]] bool BeginLoad(const ModelName& model, MebiBytes memory);
  /// Records that the engine replied to a load order.
  /// @param refused  whether the engine will not load the model. The memory is
  ///   then released, unless another order for the model may still take effect.
  void RecordLoadReply(const ModelName& model, bool refused);
  /// Records that the reply to a load order was lost. The order may take effect
  /// until the order lifetime is over.
  void RecordLostLoadReply(const ModelName& model);
  /// Records that an unload order is about to be sent. The memory stays
  /// reserved until Reconcile confirms that the model is gone.
  void BeginUnload(const ModelName& model);
  /// Updates the ledger from the engine's list of its models. Models in the
  /// list use memory; the memory of others is released unless a load order for
  /// them may still take effect.
  void Reconcile(const std::map<ModelName, ReportedModel>& reported);

  [[nodiscard]] bool IsLoaded(const ModelName& model) const noexcept;
  /// @returns the models that serve requests.
  [[nodiscard]] std::set<ModelName> LoadedModels() const;
  [[nodiscard]] MebiBytes reserved() const noexcept { return m_reserved; }
  [[nodiscard]] MebiBytes capacity() const noexcept { return m_capacity; }

 private:
  struct ModelUsage {
    ModelLoadState load_state = ModelLoadState::kLoading;
    MebiBytes memory;
    /// Load orders that the engine has not replied to yet.
    int orders_without_reply = 0;
    /// Until this time an order whose reply was lost may take effect.
    TimePoint lost_order_expires_at{};
  };

  void ApplyReportedModel(const ModelName& model,
                          const ReportedModel& reported);
  [[nodiscard]] bool LoadMayTakeEffect(const ModelUsage& usage) const noexcept;

  const Clock& m_clock;
  MebiBytes m_capacity;
  Duration m_order_lifetime;
  /// Always the sum of the memory of all m_models.
  MebiBytes m_reserved;
  std::map<ModelName, ModelUsage> m_models;
};

}  // namespace bambooquay
