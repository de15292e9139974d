package conf

import "endivehitch/core/value"

func (w wireDocument) value() value.Document {
	return value.Document{
		Name:           w.Name,
		ClientAccounts: convert(w.ClientAccounts, wireAccount.value),
		Models:         convert(w.Models, wireModel.value),
		Kinds:          convert(w.Kinds, wireKind.value),
		Pools:          convert(w.Pools, wirePool.value),
		Services:       convert(w.Services, wireService.value),
		RollOuts:       convert(w.RollOuts, wireRollOut.value),
		Limits:         value.Limits(w.Limits),
	}
}

// convert returns the list with each item converted.
func convert[W, V any](list []W, convertOne func(W) V) []V {
	values := make([]V, len(list))
	for i, item := range list {
		values[i] = convertOne(item)
	}
	return values
}

func toName[N ~string](s string) N {
	return N(s)
}

func (w wireAccount) value() value.ClientAccount {
	return value.ClientAccount{
		Name:        value.AccountName(w.Name),
		Share:       w.Share,
		Versions:    convert(w.Versions, toName[value.VersionKey]),
		Kinds:       convert(w.Kinds, toName[value.KindName]),
		MaxInFlight: w.MaxInFlight,
	}
}

func (w wireModel) value() value.Model {
	return value.Model{Name: value.ModelName(w.Name), Versions: convert(w.Versions, wireVersion.value)}
}

func (w wireVersion) value() value.Version {
	return value.Version{
		Name:          w.Name,
		InputMicros:   w.InputMicros,
		OutputMicros:  w.OutputMicros,
		Quality:       w.Quality,
		QualityWeight: w.QualityWeight,
		FirstToken:    w.FirstToken,
		TokenTime:     w.TokenTime,
		Pool:          value.PoolName(w.Pool),
		Withdrawn:     w.Withdrawn,
	}
}

func (w wireKind) value() value.Kind {
	return value.Kind{
		Name:          value.KindName(w.Name),
		Model:         value.ModelName(w.Model),
		Service:       value.ServiceName(w.Service),
		QualityTarget: w.QualityTarget,
		Priority:      value.Priority(w.Priority),
		Idempotent:    w.Idempotent,
		Deadline:      w.Deadline,
		MaxTokens:     w.MaxTokens,
		Share:         w.Share,
		MaxAttempts:   w.MaxAttempts,
		Judge:         value.Judge(w.Judge),
		RatingFloor:   w.RatingFloor,
	}
}

func (w wirePool) value() value.Pool {
	return value.Pool{
		Name:        value.PoolName(w.Name),
		MaxInFlight: w.MaxInFlight,
		SlowStart:   w.SlowStart,
		MinHealthy:  w.MinHealthy,
		Fencing:     w.Fencing,
	}
}

func (w wireService) value() value.Service {
	return value.Service{Name: value.ServiceName(w.Name), Pool: value.PoolName(w.Pool)}
}

func (w wireRollOut) value() value.RollOut {
	return value.RollOut{
		Name:          value.RollOutName(w.Name),
		Model:         value.ModelName(w.Model),
		From:          w.From,
		To:            w.To,
		Stages:        convert(w.Stages, wireStage.value),
		MaxErrorRate:  w.MaxErrorRate,
		MinQuality:    w.MinQuality,
		SlowAfter:     w.SlowAfter,
		MaxSlowRate:   w.MaxSlowRate,
		CostAbove:     w.CostAbove,
		MaxCostlyRate: w.MaxCostlyRate,
	}
}

func (w wireStage) value() value.Stage {
	return value.Stage(w)
}
