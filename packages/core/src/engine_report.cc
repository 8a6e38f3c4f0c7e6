// Keys of models and adapters in engine reports.
#include "bambooquay/core/engine_report.h"

namespace bambooquay {

std::string AdapterKey(const ModelName& model, const AdapterName& adapter) {
  return adapter.empty() ? model.value()
                         : model.value() + "/" + adapter.value();
}

}  // namespace bambooquay
