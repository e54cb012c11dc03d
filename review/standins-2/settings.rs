//! The settings of a small deployment, in the form in which a router is told them.

/// Replaces a value: `with(&SETTINGS, "DrainGrace", "250")`.
pub fn with(settings: &str, key: &str, value: &str) -> String {
    let start = settings.find(&format!("\"{key}\":")).expect("a known key") + key.len() + 3;
    let rest = &settings[start..];
    let mut depth = 0;
    let end = rest
        .char_indices()
        .find(|(_, c)| {
            match c {
                '[' | '{' => depth += 1,
                ']' | '}' if depth > 0 => depth -= 1,
                ',' | '}' | ']' if depth == 0 => return true,
                _ => {}
            }
            false
        })
        .map_or(rest.len(), |(index, _)| index);
    format!("{}{}{}", &settings[..start], value, &rest[end..])
}

/// Three classes: large objects in parts, pages that age, and writes that must not run twice.
pub const SETTINGS: &str = r#"{
"Classes":[
{"Name":"video","Effect":"pure","Group":"all","Window":5000,"Aim":500,"AimStretch":2,"HardLimit":5000,"Worth":2,"LateWorth":0.15,"Stream":false},
{"Name":"page","Effect":"pure","Group":"all","Window":5000,"Aim":250,"AimStretch":2,"HardLimit":2500,"Worth":1,"LateWorth":0.2,"Stream":false},
{"Name":"confirm","Effect":"side_effect","Group":"all","Window":5000,"Aim":700,"HardLimit":3000,"Worth":3,"LateWorth":0,"Stream":false}],
"FamilyInfo":{"ClassFresh":[0,12000,0],"ClassWrite":[false,false,true],"ClientKbPerS":8800,"CrewByZone":[1],"HomeHub":[0],
"Neighbours":"location","ObeyAfter":500,"ParentFallMultiple":2,"ParentFloor":0.079,"ParentRamp":22000,"PassThroughOk":true,
"PipeKbPerS":[123738],"PurgeDone":6000,"Says":"all","Segmented":[true,false,false],"SharesFills":false,"ShieldKind":1,"SourceKind":2,
"StaleEarns":[0.7,0.7,0.7],"StaleFor":[0,0,0]},
"Feedback":{"Fields":["busy","rif","x0","x1"],"How":"probe"},
"Granularity":2,
"Kinds":["box","parent","origin"],
"Limits":{"ConnectTimeout":400,"IdleClose":30000,"MaxAttempts":8,"MaxOpen":20000,"MaxRetryAfter":500,"MayCancel":true,"MayProbe":true,
"PeerMessages":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100},
"Locality":0,"MyNumber":0,
"Obligations":{"ColdFrom":0.29,"DrainGrace":500,"Fall":1000,"TipMultiple":2,"WarmWithin":17000},
"PeersTotal":1,"RegistryMode":"push","Tenants":[],"Weights":"nominal","Zones":["here"]}"#;
